const FORBIDDEN_ABBREVIATIONS = new Set([
    "req",
    "res",
    "msg",
    "cfg",
    "ctx",
    "mgr",
    "idx",
    "cnt",
    "buf",
    "tmp",
    "btn",
    "evt",
    "cb",
    "fn",
    "str",
    "num",
    "obj",
    "arr"
]);

const noNull = {
    meta: { type: "problem", messages: { found: "Use undefined in place of null." }, schema: [] },
    create: context => ({
        Literal(node) {
            if (node.value === null && node.raw === "null") {
                context.report({ node, messageId: "found" });
            }
        },
        TSNullKeyword(node) {
            context.report({ node, messageId: "found" });
        }
    })
};

const noIndexFile = {
    meta: { type: "problem", messages: { found: "Index files are not used." }, schema: [] },
    create: context => ({
        Program(node) {
            if (/(^|[\\/])index\.ts$/.test(context.filename)) {
                context.report({ node, messageId: "found" });
            }
        }
    })
};

function isTypeStatement(statement) {
    const declaration = statement.type === "ExportNamedDeclaration" ? statement.declaration : statement;
    return declaration?.type === "TSInterfaceDeclaration" || declaration?.type === "TSTypeAliasDeclaration";
}

const typesFirst = {
    meta: {
        type: "suggestion",
        messages: { found: "Interfaces and type aliases come before code in a file." },
        schema: []
    },
    create: context => ({
        Program(node) {
            let codeSeen = false;
            for (const statement of node.body) {
                const declaration = statement.type === "ExportNamedDeclaration" ? statement.declaration : statement;
                if (isTypeStatement(statement) && codeSeen) {
                    context.report({ node: statement, messageId: "found" });
                }
                codeSeen ||= declaration?.type === "ClassDeclaration" || declaration?.type === "FunctionDeclaration";
            }
        }
    })
};

const wholeWords = {
    meta: { type: "suggestion", messages: { found: "Write the whole word in place of '{{name}}'." }, schema: [] },
    create: context => ({
        "VariableDeclarator > Identifier.id, FunctionDeclaration > Identifier.params, ArrowFunctionExpression > Identifier.params, PropertyDefinition > Identifier.key"(
            node
        ) {
            if (FORBIDDEN_ABBREVIATIONS.has(node.name)) {
                context.report({ node, messageId: "found", data: { name: node.name } });
            }
        }
    })
};

export default {
    rules: { "no-null": noNull, "no-index-file": noIndexFile, "types-first": typesFirst, "whole-words": wholeWords }
};
