/** Seeds that once violated a guarantee, with the cause; `npm run soak -- --kept` runs them again. */
export const regressionSeeds: readonly { readonly seed: number; readonly cause: string; }[] = [
    {
        seed: 115,
        cause: "The store did not answer while engines loaded new weights; the routers received the orders late and "
            + "excluded all engines. The stand-in engines did not register their new version, as the platform's do. "
            + "Later: a process that alone lost the store did not receive the weights version from its peers, put all "
            + "engines in back-off and detected the recovery of the store up to 2.2 s late.",
    },
    {
        seed: 3302,
        cause:
            "The soak's proxy closed the connection of an unframed stream in the orderly way after the engine had reset "
            + "it. On f1ef222 the answers without a body of this seed end all processes.",
    },
    {
        seed: 3432,
        cause: "An engine ended under a prompt part before the first event of an unframed stream; the empty stream was "
            + "relayed as complete.",
    },
    {
        seed: 4124,
        cause:
            "All processes were killed in the middle of streams that they relayed without framing, as their targets sent "
            + "them; the orderly close of their connections looked like the end. They are relayed in chunks since.",
    },
    {
        seed: 470035,
        cause: "An engine ended under a prompt part before the first event of an unframed stream that was resumed; the "
            + "stream was relayed as complete. Seen in one of three runs.",
    },
    {
        seed: 500051036,
        cause:
            "The stand-in engine cut a stream that it had begun without framing by an orderly close after a whole event, "
            + "which is the proper end of such a stream. It resets the connection since. Seen in one of two runs.",
    },
    {
        seed: 60,
        cause:
            "With a shared salt that did not depend on the isolated accounts, requests found parts that an account had "
            + "made before it was isolated.",
    },
];
