import type { Finding } from "@skylarkpath/common/base/Finding";
import { err, ok, type Result } from "neverthrow";
import type { SocketAddress } from "./Settings.js";
import type { TomlNode } from "./TomlNode.js";
import { quote } from "./Units.js";
import { convert, readString } from "./ValueReaders.js";

/** Placeholder for an address that is missing or invalid. */
export const PLACEHOLDER_ADDRESS: SocketAddress = { host: "", port: 0 };

const IPV4_ADDRESS = /^(\d{1,3}\.\d{1,3}\.\d{1,3}\.\d{1,3}):(\d{1,5})$/;
const IPV6_ADDRESS = /^\[([0-9A-Fa-f:.]{2,45})\]:(\d{1,5})$/;
const HTTP_URL = /^https?:\/\/[^\s/?#]+[^\s?#]*$/;
const KEY_HASH = /^[0-9a-f]{64}$/;
const MAX_PORT = 65_535;
const MAX_IPV4_OCTET = 255;
const MIN_CLUSTER_KEY_CHARACTERS = 32;

/** Reads an address written as `IP:PORT`. */
export function readSocketAddress(node: TomlNode): Result<SocketAddress, readonly Finding[]> {
    return convert(node, readString, parseSocketAddress);
}

/** Reads an HTTP or HTTPS URL and removes slashes at its end. */
export function readHttpUrl(node: TomlNode): Result<string, readonly Finding[]> {
    return convert(node, readString, text =>
        HTTP_URL.test(text)
            ? ok(text.replace(/\/+$/, ""))
            : err(`expected a URL such as "http://10.0.0.1:8080", found ${quote(text)}`));
}

/** Reads a SHA-256 hash of an operator key. */
export function readKeyHash(node: TomlNode): Result<string, readonly Finding[]> {
    return convert(
        node,
        readString,
        text => KEY_HASH.test(text) ? ok(text) : err("expected a SHA-256 hash of 64 lower-case hexadecimal digits")
    );
}

/** Reads the key that authenticates messages between processes. */
export function readClusterKey(node: TomlNode): Result<string, readonly Finding[]> {
    return convert(node, readString, text =>
        text.length >= MIN_CLUSTER_KEY_CHARACTERS
            ? ok(text)
            : err(`must have at least ${MIN_CLUSTER_KEY_CHARACTERS} characters`));
}

function parseSocketAddress(text: string): Result<SocketAddress, string> {
    const match = IPV4_ADDRESS.exec(text) ?? IPV6_ADDRESS.exec(text);
    const isInvalidIpv4 = match?.[1].includes(".") && match[1].split(".").some(octet => Number(octet) > MAX_IPV4_OCTET);
    if (!match || isInvalidIpv4) {
        return err(`expected an address such as "10.0.0.1:8080" or "[::1]:8080", found ${quote(text)}`);
    }
    const port = Number(match[2]);
    return port <= MAX_PORT ? ok({ host: match[1], port }) : err(`the port must be at most ${MAX_PORT}`);
}
