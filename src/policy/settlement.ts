/** Applies a holder's report to a grant and to the bucket that the grant was reserved from. */
import { addMillis, type Millis } from "../ids";
import type { GrantReport } from "../peers";
import { addOutstanding, type Bucket, settleBucket } from "./bucket";

/** Counters of a grant that are updated by reports. */
export interface ReportedGrant {
    /** After this time only tokens reserved by running requests count as outstanding. */
    readonly expiresAt: Millis;
    outstanding: number;
    /** Sequence number and totals of the newest report. */
    sequence: number;
    spent: number;
    returned: number;
    reserved: number;
    reservedUntil: Millis;
    /**
     * False once tokens of the grant were counted as spent or came from an earlier owner. Returned tokens are then
     * no longer outstanding but are not added to the level.
     */
    isCreditable: boolean;
}

/**
 * Applies a report. Only the increase over the totals of earlier reports changes the bucket, limited to the
 * outstanding tokens of the grant, so that no token returns to the level twice.
 */
export function settleReport(bucket: Bucket, grant: ReportedGrant, report: GrantReport, now: Millis): void {
    if (report.sequence <= grant.sequence) {
        return;
    }
    const spent = Math.min(grant.outstanding, Math.max(0, report.spent - grant.spent));
    const returned = Math.min(grant.outstanding - spent, Math.max(0, report.returned - grant.returned));
    settleBucket(bucket, grant.isCreditable ? { spent, unused: returned } : { spent: spent + returned });
    grant.outstanding -= spent + returned;
    grant.sequence = report.sequence;
    grant.spent = Math.max(grant.spent, report.spent);
    grant.returned = Math.max(grant.returned, report.returned);
    grant.reserved = report.reserved;
    grant.reservedUntil = addMillis(now, report.reservedForMs);
    const missingTokens = report.reserved - grant.outstanding;
    if (now >= grant.expiresAt && missingTokens > 0 && report.reservedForMs > 0) {
        // These tokens were counted as spent at expiry, so the level may have been refilled for them already.
        grant.isCreditable = false;
        grant.outstanding += missingTokens;
        addOutstanding(bucket, missingTokens);
    }
}
