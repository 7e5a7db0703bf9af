/** A process that sends bytes and resets the connection, apart from the event loop of the test that reads them. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";

/** Accepts connections, and after each sends the same bytes and then resets it or ends it in the orderly way. */
const program = `
const server = require("node:net").createServer(socket => {
    socket.on("error", () => undefined);
    const end = process.argv[1] === "reset" ? () => socket.resetAndDestroy() : () => socket.end();
    socket.write("last bytes", () => setTimeout(end, 20));
});
server.listen(0, "127.0.0.1", () => console.log(server.address().port));
`;

export interface LateSender {
    readonly address: string;
    readonly process: ChildProcess;
}

/** Starts the sender. */
export async function startLateSender(end: "reset" | "orderly"): Promise<LateSender> {
    const child = spawn(process.execPath, ["-e", program, end], { stdio: ["ignore", "pipe", "inherit"] });
    const [port] = await once(child.stdout, "data") as [Buffer];
    return { address: `127.0.0.1:${port.toString().trim()}`, process: child };
}
