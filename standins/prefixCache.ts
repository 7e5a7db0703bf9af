/** Prefix cache of an engine: blocks in least-recently-used order, with cache events. */

export interface CacheChange {
    readonly kind: "stored" | "removed" | "cleared";
    readonly blocks: readonly string[];
}

export interface PrefixCache {
    readonly size: number;
    /** Returns whether the block is cached, without marking it as recently used. */
    has(block: string): boolean;
    /** Returns the number of leading blocks that are cached and marks them as recently used. */
    findHits(blocks: readonly string[]): number;
    add(blocks: readonly string[]): void;
    clear(): void;
}

/** Creates a cache of at most `maxBlocks` blocks. */
export function createPrefixCache(
    { maxBlocks, onChange = () => undefined }: {
        readonly maxBlocks: number;
        readonly onChange?: (change: CacheChange) => void;
    },
): PrefixCache {
    const blocks = new Set<string>();

    function removeLeastRecentlyUsed(): void {
        const removed: string[] = [];
        for (const block of blocks) {
            if (blocks.size <= maxBlocks) {
                break;
            }
            blocks.delete(block);
            removed.push(block);
        }
        if (removed.length > 0) {
            onChange({ kind: "removed", blocks: removed });
        }
    }

    return {
        get size() {
            return blocks.size;
        },
        has: block => blocks.has(block),
        findHits: wanted => {
            let hits = 0;
            for (const block of wanted) {
                if (!blocks.delete(block)) {
                    break;
                }
                blocks.add(block);
                hits += 1;
            }
            return hits;
        },
        add: added => {
            const stored = added.filter(block => !blocks.has(block));
            // Adds the longest prefix first and the shortest last, so that long prefixes are evicted before short ones.
            for (const block of [...added].reverse()) {
                blocks.delete(block);
                blocks.add(block);
            }
            if (stored.length > 0) {
                onChange({ kind: "stored", blocks: stored });
            }
            removeLeastRecentlyUsed();
        },
        clear: () => {
            blocks.clear();
            onChange({ kind: "cleared", blocks: [] });
        },
    };
}
