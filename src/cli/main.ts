/** Entry point of the program. */
// Must be imported first, so that a signal that arrives while other modules load does not end the process.
import "./signals";
import { runCommandLine } from "./commandLine";

/** Time for `serve` and `forward` to write their last log lines and send their last store calls. */
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
        // Open connections would otherwise keep the process alive after a failed start or a drain.
        setTimeout(() => process.exit(code), exitDelayMs).unref();
    }
});
