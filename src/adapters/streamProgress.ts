/** Bounds what a stream of server-sent events may bring between two events that its caller lacks. */

export interface StreamProgress {
    /** Counts comments and blank lines. */
    addComment(bytes: number): void;
    /** Counts an event that the caller already has, or that is not for it. */
    addUnusedEvent(bytes: number): void;
    /** An event for the caller has arrived. */
    addEvent(): void;
    /** True when the stream should be given up. */
    readonly isExceeded: boolean;
}

/** Each count has a least length, which stands for the work. Comments are relayed, which costs more. */
const maxCommentBytes = 256 * 1024;
const minCommentBytes = 256;
const maxUnusedEventBytes = 1024 * 1024;
const minUnusedEventBytes = 64;

/**
 * Creates the progress of one stream.
 *
 * @example
 * const progress = createStreamProgress();
 * progress.addComment(2);
 * progress.isExceeded; // false
 */
export function createStreamProgress(): StreamProgress {
    let commentBytes = 0;
    let unusedEventBytes = 0;
    return {
        addComment: bytes => {
            commentBytes += Math.max(minCommentBytes, bytes);
        },
        addUnusedEvent: bytes => {
            unusedEventBytes += Math.max(minUnusedEventBytes, bytes);
        },
        addEvent: () => {
            commentBytes = 0;
            unusedEventBytes = 0;
        },
        get isExceeded() {
            return commentBytes > maxCommentBytes || unusedEventBytes > maxUnusedEventBytes;
        },
    };
}
