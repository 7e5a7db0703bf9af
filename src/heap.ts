/** Binary heap over an array; its first entry is the least. */

/** Says whether one entry comes before another one. */
export type IsBefore<Entry> = (left: Entry, right: Entry) => boolean;

/** Adds an entry. */
export function addToHeap<Entry>(heap: Entry[], entry: Entry, isBefore: IsBefore<Entry>): void {
    let index = heap.length;
    heap.push(entry);
    while (index > 0) {
        const parent = (index - 1) >> 1;
        const above = heap[parent] as Entry;
        if (!isBefore(entry, above)) {
            break;
        }
        heap[index] = above;
        index = parent;
    }
    heap[index] = entry;
}

/** Removes the first entry of a heap that is not empty. */
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
