import { err, ok, type Result } from "neverthrow";
import { type Dispatcher, request } from "undici";
import { type PreviewReply, previewReplySchema } from "./PreviewSchema.js";

/** Why there is no preview. */
export interface PreviewError {
    /** The server refused the job, its queue or its team; otherwise no server could answer. */
    readonly refused: boolean;
    readonly message: string;
}

const PREVIEW_PATH = "/placement-preview";
const STATUS_OK = 200;
const STATUS_NOT_OWNER = 421;
const MAX_REDIRECTS = 3;

/** Asks processes of a fleet for the preview of a placement; only the fleet's owner gives one. */
export class PreviewClient {
    constructor(private readonly dispatcher: Dispatcher, private readonly timeoutMs: number) {}

    /** Asks the servers in turn; one that is not the owner names the owner, which is asked next. */
    public async preview(
        servers: readonly string[],
        job: string,
        queue: string,
        team: string
    ): Promise<Result<PreviewReply, PreviewError>> {
        const query = new URLSearchParams({ queue, team }).toString();
        const failures: string[] = [];
        for (const first of servers) {
            let server: string | undefined = first;
            for (let redirects = 0; server !== undefined && redirects <= MAX_REDIRECTS; redirects++) {
                const reply = await this.send(`${server}${PREVIEW_PATH}?${query}`, job);
                const { status, fields } = reply;
                if (status === STATUS_OK) {
                    const preview = previewReplySchema.safeParse(fields);
                    return preview.success
                        ? ok(preview.data)
                        : err({ refused: false, message: `${server}: unexpected reply` });
                }
                const message = `${server}: ${fields.error ?? `status ${status}`}`;
                if (status !== undefined && status >= 400 && status < 500 && status !== STATUS_NOT_OWNER) {
                    return err({ refused: true, message });
                }
                failures.push(message);
                const isRedirect: boolean = status === STATUS_NOT_OWNER && typeof fields.owner === "string";
                server = isRedirect ? `http://${fields.owner}` : undefined;
            }
        }
        return err({ refused: false, message: failures.join("; ") });
    }

    private async send(
        url: string,
        body: string
    ): Promise<{ readonly status?: number; readonly fields: { readonly error?: string; readonly owner?: string; }; }> {
        try {
            const reply = await request(url, {
                method: "POST",
                body,
                dispatcher: this.dispatcher,
                headers: { "content-type": "application/json" },
                headersTimeout: this.timeoutMs,
                bodyTimeout: this.timeoutMs
            });
            return { status: reply.statusCode, fields: await reply.body.json() as { readonly error?: string; } };
        }
        catch (error) {
            return { fields: { error: error instanceof Error ? error.message : String(error) } };
        }
    }
}
