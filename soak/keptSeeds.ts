/** Seeds that once broke a promise, with the cause; `npm run soak -- --kept` runs them again. */
export const keptSeeds: readonly { readonly seed: number; readonly cause: string; }[] = [
    {
        seed: 115,
        cause: "The store was silent while engines took new weights; late news of the orders kept all engines out. "
            + "The stand-in engines did not register their new version either, which the platform's do. "
            + "Later: a process cut off from the store alone did not learn of the weights from its peers, backed all "
            + "engines off and noticed the store's return up to 2.2 s late.",
    },
];
