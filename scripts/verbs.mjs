// Verbs that function names begin with. docs/design.md has the same list.
// dprint-ignore
export const verbs = [
    "acquire", "add", "admit", "answer", "append", "apply", "build", "can", "cancel", "check", "choose", "claim", "close",
    "compute", "confirm", "count", "create", "decode", "drain", "encode", "end", "estimate", "exchange", "expect", "expire", "find",
    "follow", "format", "get", "grant", "handle", "has", "hash", "is", "list", "load", "log", "measure", "merge", "move",
    "open", "parse", "place", "post", "print", "read", "record", "refuse", "register", "relay", "release", "remove", "requeue", "request",
    "reserve", "resume", "retry", "revoke", "route", "run", "schedule", "send", "settle", "start", "stop",
    "subscribe", "to", "update", "wait", "write",
];
