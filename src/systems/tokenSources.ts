/** Settles reserved tokens with the source that they were reserved from. */
import type { AccountId, GrantId } from "../ids";
import { settleBucket } from "../policy/bucket";
import type { RequestRow, TokenReservation, TokenSource } from "../tables/requests";
import type { World } from "../world";

interface Settlement {
    readonly spent: number;
    readonly unused: number;
}

type SourceHandlers = {
    readonly [Kind in TokenSource["kind"]]: (
        world: World,
        account: AccountId,
        source: Extract<TokenSource, { readonly kind: Kind; }>,
        settlement: Settlement,
    ) => void;
};

const sourceHandlers: SourceHandlers = {
    floor: (world, account, { serial }, settlement) => {
        const floor = world.tables.floors.get(account);
        if (floor?.serial === serial) {
            settleBucket(floor.bucket, settlement);
        }
    },
    grant: (world, account, { grant }, settlement) => {
        settleGrant(world, account, grant, settlement);
    },
    bucket: (world, account, { ownGrantId }, settlement) => {
        const row = world.tables.buckets.get(account);
        if (row?.ownGrantId === ownGrantId) {
            settleBucket(row.bucket, settlement);
            row.ownReserved -= settlement.spent + settlement.unused;
            return;
        }
        // Ownership ended while the request ran; the reservation is now tracked as one of an expired grant.
        settleGrant(world, account, ownGrantId, settlement);
    },
};

function settleGrant(world: World, account: AccountId, id: GrantId, { spent, unused }: Settlement): void {
    const grant = world.tables.grants.find(account)?.grants.get(id);
    if (!grant) {
        return;
    }
    grant.reserved -= spent + unused;
    grant.spent += spent;
    grant.available += unused;
    grant.sequence += 1;
}

function settleWithSource(world: World, account: AccountId, source: TokenSource, settlement: Settlement): void {
    (sourceHandlers[source.kind] as (
        world: World,
        account: AccountId,
        source: TokenSource,
        settlement: Settlement,
    ) => void)(world, account, source, settlement);
}

function settleReservation(
    world: World,
    account: AccountId,
    reservation: TokenReservation,
    spent: number,
    isFinal: boolean,
): number {
    const settled = Math.min(spent, reservation.open);
    const unused = isFinal ? reservation.open - settled : 0;
    reservation.open -= settled + unused;
    reservation.spent += settled;
    if (settled > 0 || unused > 0) {
        settleWithSource(world, account, reservation.source, { spent: settled, unused });
    }
    return spent - settled;
}

/**
 * Settles `spent` tokens of a request. With `isFinal` the rest of the reservation goes back to its sources.
 * Returns the number of tokens spent beyond the reservation.
 */
export function settleReservations(
    world: World,
    row: RequestRow,
    { spent, isFinal = false }: { readonly spent: number; readonly isFinal?: boolean; },
): number {
    if (row.account === undefined) {
        return 0;
    }
    let unsettledTokens = spent;
    for (const reservation of row.reservations) {
        unsettledTokens = settleReservation(world, row.account, reservation, unsettledTokens, isFinal);
    }
    return unsettledTokens;
}

/** Computes the tokens of a request that are settled as spent. */
export const computeSpentTokens = (row: RequestRow): number =>
    row.reservations.reduce((sum, reservation) => sum + reservation.spent, 0);
