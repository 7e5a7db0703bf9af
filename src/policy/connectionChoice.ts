/** Chooses the connection that is closed when a listener has too many. */

/** What the choice depends on. */
export interface ConnectionView {
    /** True while a request is handled. */
    readonly isBusy: boolean;
    /** True when a request has been answered on the connection. */
    readonly hasAnswered: boolean;
    /** True while the body of the request that is handled has not arrived whole. */
    readonly isReadingBody: boolean;
    /** True while the client has not taken an answer. */
    readonly hasUnread: boolean;
}

/**
 * Classes in the order in which they are closed. A connection whose request runs is never closed: the caller could not
 * tell whether it ran. One that is idle after an answer comes last, since its caller may be about to use it.
 */
const classes: readonly ((view: ConnectionView) => boolean)[] = [
    view => !view.isBusy && !view.hasAnswered,
    view => view.hasUnread,
    view => view.isReadingBody,
    view => !view.isBusy,
];

/**
 * Chooses among connections in the order of their last use, oldest first; undefined when none may be closed.
 *
 * @example
 * chooseClosedConnection(rows, row => row); // the oldest one that has sent no request
 */
export function chooseClosedConnection<Row>(
    rows: Iterable<Row>,
    view: (row: Row) => ConnectionView,
): Row | undefined {
    const found: (Row | undefined)[] = classes.map(() => undefined);
    for (const row of rows) {
        const rowClass = classes.findIndex(isInClass => isInClass(view(row)));
        if (rowClass === 0) {
            return row;
        }
        if (rowClass > 0) {
            found[rowClass] ??= row;
        }
    }
    return found.find(row => row !== undefined);
}
