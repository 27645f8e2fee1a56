import type { Result } from "neverthrow";
import type { StoreError } from "./StoreError.js";

/** Object store of the platform; objects are written as a whole and never changed. */
export interface ObjectStore {
    put(name: string, content: string): Promise<Result<void, StoreError>>;
    get(name: string): Promise<Result<string | undefined, StoreError>>;
    remove(name: string): Promise<Result<void, StoreError>>;
}
