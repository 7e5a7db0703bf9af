/** Client for the platform's VM list. */
import { z } from "zod";
import type { Event, VmListEntry } from "../events";
import { sendHttpCall } from "./httpClient";

const listSchema = z.looseObject({
    vms: z.array(z.looseObject({
        id: z.string(),
        address: z.string(),
        dataCentre: z.string(),
        state: z.enum(["live", "leaving"]),
    })),
});

const timeoutMs = 1000;

/** Reads the VM list once and posts it. A failed read posts nothing, so that the previous list stays in use. */
export async function readVmList(address: string, post: (event: Event) => void): Promise<void> {
    try {
        const answer = await sendHttpCall({ method: "GET", address, path: "/vms", timeoutMs });
        const { vms } = listSchema.parse(JSON.parse(answer.text));
        post({ kind: "vmListRead", vms: vms as unknown as VmListEntry[] });
    }
    catch {
        return;
    }
}
