/** Binary min-heap in an array. */

/** True when `left` is ordered before `right`. */
export type IsBefore<Entry> = (left: Entry, right: Entry) => boolean;

/** Adds an entry. */
export function addToHeap<Entry>(heap: Entry[], entry: Entry, isBefore: IsBefore<Entry>): void {
    let index = heap.length;
    heap.push(entry);
    while (index > 0) {
        const parent = (index - 1) >> 1;
        const parentEntry = heap[parent] as Entry;
        if (!isBefore(entry, parentEntry)) {
            break;
        }
        heap[index] = parentEntry;
        index = parent;
    }
    heap[index] = entry;
}

/** Removes and returns the first entry of a non-empty heap. */
export function removeFirst<Entry>(heap: Entry[], isBefore: IsBefore<Entry>): Entry {
    const first = heap[0] as Entry;
    const last = heap.pop() as Entry;
    if (heap.length === 0) {
        return first;
    }
    let index = 0;
    for (;;) {
        const left = 2 * index + 1;
        if (left >= heap.length) {
            break;
        }
        const right = left + 1;
        const child = right < heap.length && isBefore(heap[right] as Entry, heap[left] as Entry) ? right : left;
        if (!isBefore(heap[child] as Entry, last)) {
            break;
        }
        heap[index] = heap[child] as Entry;
        index = child;
    }
    heap[index] = last;
    return first;
}
