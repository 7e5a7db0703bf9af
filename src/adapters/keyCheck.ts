/** Detects a caller's key in its own request, in clear or escaped in ways that targets commonly decode. */

/** Percent-encoding and JSON escapes of printable ASCII, the characters that keys consist of. */
const keyEscapes: readonly { readonly marker: string; readonly pattern: RegExp; }[] = [
    { marker: "%", pattern: /%([2-7][0-9a-f])/gi },
    { marker: "\\u00", pattern: /\\u00([2-7][0-9a-f])/gi },
];

/**
 * True when the text contains the key.
 *
 * @example
 * hasKey("/jobs?token=%73k-1", "sk-1"); // true
 */
export function hasKey(content: Buffer | string, key: string | undefined): boolean {
    if (key === undefined) {
        return false;
    }
    if (content.includes(key)) {
        return true;
    }
    const decode = (pattern: RegExp): string =>
        content.toString("latin1").replace(
            pattern,
            (_match, code: string) => String.fromCharCode(Number.parseInt(code, 16)),
        );
    // Bodies without a marker, the usual case, are not decoded.
    return keyEscapes.some(({ marker, pattern }) => content.includes(marker) && decode(pattern).includes(key));
}
