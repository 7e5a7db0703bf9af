/** Events of one tick, grouped by kind. */
import type { WithKind } from "./effects";

/** Events of one tick, in the order of arrival within each kind. */
export interface KindBatch<AnyEvent extends WithKind> {
    list<Kind extends AnyEvent["kind"]>(kind: Kind): readonly Extract<AnyEvent, { readonly kind: Kind; }>[];
}

const emptyList: readonly never[] = [];

/** Groups events by kind. */
export function createKindBatch<AnyEvent extends WithKind>(events: readonly AnyEvent[]): KindBatch<AnyEvent> {
    const byKind = new Map<string, AnyEvent[]>();
    for (const event of events) {
        const list = byKind.get(event.kind);
        if (list) {
            list.push(event);
        }
        else {
            byKind.set(event.kind, [event]);
        }
    }
    return { list: kind => (byKind.get(kind) ?? emptyList) as never };
}
