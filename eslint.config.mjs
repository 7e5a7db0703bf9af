import tseslint from "typescript-eslint";
import { verbs } from "./scripts/verbs.mjs";

const verbPattern = new RegExp(`^(${verbs.join("|")})([A-Z0-9].*)?$`);

const functionNameStartsWithVerb = {
    meta: {
        type: "suggestion",
        messages: { verb: "Function '{{name}}' must begin with a listed verb (scripts/verbs.mjs)." },
    },
    create(context) {
        const check = id => {
            if (id && !verbPattern.test(id.name)) {
                context.report({ node: id, messageId: "verb", data: { name: id.name } });
            }
        };
        return {
            FunctionDeclaration: node => check(node.id),
            VariableDeclarator: node => {
                const isFunction = node.init?.type === "ArrowFunctionExpression"
                    || node.init?.type === "FunctionExpression";
                if (isFunction && node.id.type === "Identifier") {
                    check(node.id);
                }
            },
        };
    },
};

// Dependencies point inward: each folder must not import the outer folders listed for it.
const outer = {
    policy: ["tables", "systems", "adapters", "cli", "codec"],
    tables: ["systems", "adapters", "cli", "codec"],
    codec: ["tables", "systems", "adapters", "cli"],
    config: ["tables", "systems", "adapters", "cli"],
    configCheck: ["tables", "systems", "adapters", "cli", "codec"],
    systems: ["adapters", "cli", "codec"],
    adapters: ["cli"],
};
const pureFolders = new Set(["policy", "tables", "codec", "config", "configCheck", "systems"]);
const inwardImports = Object.entries(outer).map(([folder, forbidden]) => ({
    files: [`src/${folder}/**/*.ts`],
    rules: {
        "no-restricted-imports": ["error", {
            patterns: [
                {
                    group: forbidden.map(name => `**/${name}/**`),
                    message: `src/${folder} must not import outer folders.`,
                },
                ...(pureFolders.has(folder)
                    ? [{
                        group: ["node:http", "node:https", "node:net", "node:fs", "node:timers", "node:fs/promises"],
                        message: "I/O belongs to src/adapters.",
                    }]
                    : []),
            ],
        }],
    },
}));

const noDefaultExport = { selector: "ExportDefaultDeclaration", message: "No default exports." };
// What an event listener throws ends the process, so listeners of adapters are wrapped by a guard. A listener that does
// nothing, and a function that is passed by its name, need none.
const noUnguardedListener = {
    selector: "CallExpression[callee.property.name=/^(on|once|prependListener|prependOnceListener)$/]"
        + " > ArrowFunctionExpression[body.type!='Identifier']",
    message: "Wrap the listener with a guard (src/adapters/listenerGuard.ts).",
};
// A connection of another kind takes a reset for the end of a response while its request is still being written.
const noOtherAgent = {
    selector: "NewExpression[callee.property.name='Agent'], Property[key.name='agent'][value.value=false]",
    message: "Use an OutgoingAgent (src/adapters/outgoingSocket.ts).",
};

export default tseslint.config(
    { ignores: ["node_modules/**", "dist/**", "build/**", "target/**"] },
    ...tseslint.configs.strict,
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        plugins: { local: { rules: { "function-name-starts-with-verb": functionNameStartsWithVerb } } },
        rules: {
            "local/function-name-starts-with-verb": "error",
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "no-restricted-syntax": ["error", noDefaultExport],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": "error",
            "@typescript-eslint/await-thenable": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-invalid-void-type": "off",
            "@typescript-eslint/no-unused-vars": ["error", {
                ignoreRestSiblings: true,
                varsIgnorePattern: "^_",
                argsIgnorePattern: "^_",
            }],
        },
    },
    {
        files: ["src/adapters/**/*.ts", "src/forward/adapters/**/*.ts", "platform/**/*.ts"],
        rules: { "no-restricted-syntax": ["error", noDefaultExport, noUnguardedListener, noOtherAgent] },
    },
    { files: ["vitest.config.ts"], rules: { "no-restricted-syntax": "off" } },
    ...inwardImports,
);
