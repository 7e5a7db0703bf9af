/** Paths and queries of requests, which may hold any text. */

export interface RequestTarget {
    /** Path without query, as received. */
    readonly path: string;
    readonly query: URLSearchParams;
}

/** Scheme and host of a target in absolute form (RFC 9112, section 3.2.2). */
const originPattern = /^https?:\/\/[^/?#]*/i;

/**
 * Splits the target of a request. Never fails, unlike `URL`, which takes `//?name=x` for an address without a host.
 *
 * @example
 * parseRequestTarget("/v1/entries?name=shop").path; // "/v1/entries"
 */
export function parseRequestTarget(target: string): RequestTarget {
    const [path = "", ...rest] = target.replace(originPattern, "").split("?");
    return { path: path === "" ? "/" : path, query: new URLSearchParams(rest.join("?")) };
}

/** Characters that Node's HTTP parser accepts in a target and its HTTP client refuses to write. */
const unsendablePattern = /[^\x21-\xff]/;

/** True when a request with this target can be sent on. */
export const isSendable = (target: string): boolean => !unsendablePattern.test(target);
