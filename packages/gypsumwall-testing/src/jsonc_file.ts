/**
 * Reads and validates JSON files with comments; errors name the line and how to
 * correct it.
 */
import * as fs from 'node:fs';
import * as jsoncParser from 'jsonc-parser';
import * as result from 'true-myth/result';
import type * as zod from 'zod';

const PARSE_OPTIONS: jsoncParser.ParseOptions = {allowTrailingComma: true};

/**
 * Reads and validates a file; the error names the file, line, path and problem.
 */
export function readJsoncFile<Schema extends zod.ZodType>(
  file: string,
  schema: Schema,
): result.Result<zod.infer<Schema>, string> {
  let text: string;
  try {
    text = fs.readFileSync(file, 'utf8');
  } catch {
    return result.err(`${file}: can't be read; check the name`);
  }
  return parseJsonc(file, text, schema);
}

/** Like `readJsoncFile`, for a text that was already read. */
export function parseJsonc<Schema extends zod.ZodType>(
  file: string,
  text: string,
  schema: Schema,
): result.Result<zod.infer<Schema>, string> {
  const errors: jsoncParser.ParseError[] = [];
  const root = jsoncParser.parseTree(text, errors, PARSE_OPTIONS);
  const [first] = errors;
  if (first !== undefined) {
    const code = jsoncParser.printParseErrorCode(first.error);
    const line = lineAt(text, first.offset);
    return result.err(`${file}:${line}: not JSON with comments: ${code}`);
  }
  if (root === undefined) return result.err(`${file}:1: the file is empty`);
  const parsed = schema.safeParse(jsoncParser.getNodeValue(root));
  if (parsed.success) return result.ok(parsed.data);
  const lines = parsed.error.issues.map((issue) => {
    const line = lineAt(text, offsetOf(root, issue.path));
    const where = issue.path.join('.') || 'the file';
    const value = formatValueAt(root, issue.path);
    return `${file}:${line}: ${where}: ${formatIssue(issue)}${value}`;
  });
  return result.err(lines.join('\n'));
}

/** Like `readJsoncFile`, but throws the error. */
export function requireJsoncFile<Schema extends zod.ZodType>(
  file: string,
  schema: Schema,
): zod.infer<Schema> {
  const read = readJsoncFile(file, schema);
  if (read.isErr) throw new Error(read.error);
  return read.value;
}

function formatIssue(issue: zod.core.$ZodIssue): string {
  if (issue.code === 'unrecognized_keys') {
    return `remove ${issue.keys.join(', ')} or mend the spelling`;
  }
  return issue.message;
}

/**
 * Formats the value found at the path; empty if it is missing, an object or an
 * array.
 */
function formatValueAt(
  root: jsoncParser.Node,
  path: readonly PropertyKey[],
): string {
  const part = [...path] as jsoncParser.JSONPath;
  const node = jsoncParser.findNodeAtLocation(root, part);
  if (node === undefined || node.children !== undefined) return '';
  return `; it is ${JSON.stringify(node.value)}`;
}

/**
 * Returns the offset of the node at the path, or of its nearest existing
 * ancestor.
 */
function offsetOf(
  root: jsoncParser.Node,
  path: readonly PropertyKey[],
): number {
  for (let length = path.length; length > 0; length -= 1) {
    const part = path.slice(0, length) as jsoncParser.JSONPath;
    const node = jsoncParser.findNodeAtLocation(root, part);
    if (node !== undefined) return node.offset;
  }
  return root.offset;
}

function lineAt(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}
