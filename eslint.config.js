import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";
import houseRules from "./scripts/houseRules.js";

const namingRules = [
    { selector: "default", format: ["camelCase"], leadingUnderscore: "forbid", trailingUnderscore: "forbid" },
    { selector: "import", format: ["camelCase", "PascalCase"] },
    { selector: "variable", modifiers: ["destructured"], format: ["camelCase", "PascalCase"] },
    { selector: "variable", modifiers: ["const", "global"], format: ["camelCase", "UPPER_CASE", "PascalCase"] },
    { selector: "variable", modifiers: ["const", "exported"], format: ["camelCase", "UPPER_CASE", "PascalCase"] },
    { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z][a-z]", match: false } },
    { selector: "enumMember", format: ["PascalCase"] },
    { selector: ["objectLiteralProperty", "typeProperty", "objectLiteralMethod", "typeMethod"], format: undefined }
].map(rule => rule.format === undefined ? { ...rule, format: null } : rule);

export default tseslint.config(
    { ignores: ["**/out/**", "**/node_modules/**", "target/**"] },
    {
        files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts"],
        extends: [...tseslint.configs.recommended],
        plugins: { jsdoc, house: houseRules },
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@typescript-eslint/naming-convention": ["error", ...namingRules],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-unused-vars": ["error", { args: "after-used" }],
            "curly": ["error", "all"],
            "eqeqeq": ["error", "always"],
            "house/no-null": "error",
            "house/no-index-file": "error",
            "house/types-first": "error",
            "house/whole-words": "error",
            "jsdoc/require-jsdoc": ["error", {
                publicOnly: true,
                require: { ClassDeclaration: true, FunctionDeclaration: true },
                contexts: [
                    "ExportNamedDeclaration > TSInterfaceDeclaration",
                    "ExportNamedDeclaration > TSTypeAliasDeclaration",
                    "ExportNamedDeclaration > TSEnumDeclaration",
                    "ExportNamedDeclaration > VariableDeclaration"
                ]
            }],
            "max-lines": ["error", { max: 400 }]
        }
    },
    {
        files: ["packages/{common,text,decisions,control,fleet}/src/**/*.ts"],
        ignores: ["**/*.test.ts"],
        rules: {
            "no-restricted-imports": ["error", {
                patterns: ["node:*", "undici", "hono", "hono/*", "winston", "prom-client"]
            }],
            "no-restricted-globals": [
                "error",
                "process",
                "Buffer",
                "setTimeout",
                "setInterval",
                "setImmediate",
                "performance",
                "Date"
            ]
        }
    }
);
