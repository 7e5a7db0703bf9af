/** Rows that the processes of the fleet write to the store. */
import { z } from "zod";
import type { ForwardMemberRow } from "../tables/members";

/** Prefix of every key that the fleet writes. */
export const fleetPrefix = "marjoramvane/";
export const memberPrefix = `${fleetPrefix}members/`;
export const weightsDutyKey = `${fleetPrefix}duties/weights`;

const memberSchema = z.object({
    vm: z.string(),
    address: z.string(),
    dataCentre: z.string(),
    state: z.enum(["live", "leaving"]),
});

export const encodeMember = (member: ForwardMemberRow): string => JSON.stringify(member);

/** Decodes the row of a member; undefined when it cannot be read. */
export function decodeMember(text: string): ForwardMemberRow | undefined {
    try {
        const parsed = memberSchema.safeParse(JSON.parse(text));
        return parsed.success ? parsed.data as ForwardMemberRow : undefined;
    }
    catch {
        return undefined;
    }
}
