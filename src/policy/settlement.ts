/** Applies a holder's report to a grant and to the bucket it was taken from. */
import { addMillis, type Millis } from "../ids";
import type { GrantReport } from "../peers";
import { addOutstanding, type Bucket, settleBucket } from "./bucket";

/** The counts of a grant that reports change. */
export interface ReportedGrant {
    /** From this time on only tokens of running requests count as outstanding. */
    readonly expiresAt: Millis;
    outstanding: number;
    /** Totals and sequence number of the newest report. */
    sequence: number;
    spent: number;
    returned: number;
    reserved: number;
    reservedUntil: Millis;
    /**
     * False once tokens of the grant were counted as spent or belonged to an earlier owner: what is returned then
     * ends being outstanding and does not go back into the level.
     */
    isCreditable: boolean;
}

/**
 * Applies a report. Only what exceeds the totals seen before changes the bucket, and never more than the grant has
 * outstanding, so that no token goes back into the level twice.
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
    const missing = report.reserved - grant.outstanding;
    if (now >= grant.expiresAt && missing > 0 && report.reservedForMs > 0) {
        // These tokens counted as spent at the expiry, so the level may have been refilled for them already.
        grant.isCreditable = false;
        grant.outstanding += missing;
        addOutstanding(bucket, missing);
    }
}
