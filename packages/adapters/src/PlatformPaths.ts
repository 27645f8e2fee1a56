/** HTTP path of the table service. */
export const TABLE_SERVICE_PATH = "/table";

/** HTTP path of the object store. */
export const OBJECT_STORE_PATH = "/objects";

/** HTTP path of the live list. */
export const LIVE_LIST_PATH = "/live-list";

/** HTTP path of a worker. */
export const WORKER_PATH = "/worker";

/** HTTP path of a target. */
export const TARGET_PATH = "/target";

/** HTTP path of the messages between processes. */
export const PEER_PATH = "/peer";
