// An engine fails in the middle of streams that have neither a length nor chunks; clients get them as if they were whole.
import { createAttemptId, exchangeBytes, hasTrouble, runCase, standins, wait } from "../lib/fleet.mjs";
import { buildHeaders, startDeployment } from "../lib/platform.mjs";
import { startRawServer } from "../lib/rawServer.mjs";

const events = 8;
const streams = 12;
/** Time in which the system sends a failed server nothing. */
const backOffMs = 2100;

const formatEvent = id => `id: ${id}\ndata: talker ${id}\n\n`;

function formatRequest() {
    const parts = "5c1e07a2:800,91bd3f06:410,e4402b7d:250";
    const headers = buildHeaders({ id: createAttemptId(), deadlineMs: 3000, parts });
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
    return ["POST /review/talker HTTP/1.1", ...lines, "Content-Length: 4", "", "body"].join("\r\n");
}

/** What a client sees: framing, whole events, and whether the answer is complete as far as it can tell. */
function judgeAnswer({ end, text }) {
    const headEnd = text.indexOf("\r\n\r\n");
    const head = text.slice(0, headEnd).toLowerCase();
    const body = text.slice(headEnd + 4);
    const isChunked = head.includes("\r\ntransfer-encoding: chunked");
    const hasLength = head.includes("\r\ncontent-length:");
    return {
        status: Number(head.split(" ")[1] ?? 0),
        framing: isChunked ? "chunks" : hasLength ? "length" : "none",
        end,
        events: [...body.matchAll(/^id: \d+\r?\ndata: talker \d+\r?\n\r?\n/gm)].length,
        lastBytes: body.slice(-12),
        looksComplete: isChunked || hasLength
            ? body.endsWith("0\r\n\r\n")
            : end === "fin" && (body === "" || body.endsWith("\n\n")),
    };
}

/** How the engine fails after four events. Each ends the channel, as the pages say, so that a client can tell. */
const failures = [
    // The engine ends in the middle of an event.
    socket => socket.end(formatEvent(5).slice(0, 9)),
    // The channel is reset between two events.
    socket => socket.resetAndDestroy(),
];

await runCase(import.meta.dirname, async ({ record, addCleanup }) => {
    let count = 0;
    const engine = await startRawServer({
        instance: "i-engine-1",
        service: standins.engineService,
        model: standins.modelName,
        slots: 64,
        handle: async (socket, request) => {
            const fail = failures[count % failures.length];
            count += 1;
            socket.write(engine.buildHead(request, "200 OK", ["Content-Type: text/event-stream", "Connection: close"]));
            for (let id = 1; id <= events; id += 1) {
                await wait(40);
                if (hasTrouble && id === 5) {
                    fail(socket);
                    return;
                }
                socket.write(formatEvent(id));
            }
            socket.end();
        },
    });
    const { machines } = await startDeployment({ record, addCleanup, servers: [engine], count: 2 });
    for (let index = 0; index < failures.length; index += 1) {
        const direct = judgeAnswer(await exchangeBytes(engine.address, formatRequest(), 5000));
        record(`without the system, the client gets ${JSON.stringify(direct)}`);
    }
    let broken = 0;
    for (let index = 0; index < streams; index += 1) {
        const machine = machines[index % machines.length];
        const seen = judgeAnswer(await exchangeBytes(machine.front, formatRequest(), 5000));
        record(`${machine.name}: the engine's last event is ${events}; the client gets ${JSON.stringify(seen)}`);
        broken += seen.status === 200 && seen.looksComplete && seen.events < events ? 1 : 0;
        await wait(hasTrouble ? backOffMs : 0);
    }
    record(`${broken} of ${streams} streams ended early and looked complete`);
    return broken > 0;
});
