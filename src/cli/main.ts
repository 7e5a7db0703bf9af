/** Entry point of the program. */
// First, so that a signal that comes while the rest is loaded does not end the process.
import "./signals";
import { runCommandLine } from "./commandLine";

/** Time for the last log lines and store calls of `serve` and `forward` to leave the process. */
const exitDelayMs = 100;

const io = {
    write: (text: string) => {
        process.stdout.write(text);
    },
    writeError: (text: string) => {
        process.stderr.write(text);
    },
    env: process.env,
};

const args = process.argv.slice(2);
void runCommandLine(args, io).then(code => {
    process.exitCode = code;
    if (args[0] === "serve" || args[0] === "forward") {
        // Open connections would keep a process alive that failed to start or has drained.
        setTimeout(() => process.exit(code), exitDelayMs).unref();
    }
});
