/** Reads JSON with comments and remembers on which line each value stands. */
import * as jsoncParser from 'jsonc-parser';
import * as result from 'true-myth/result';
import type * as settingsProblem from './settings_problem.js';

/** A place in a text, from 1. */
export interface Place {
  readonly line: number;
  readonly column: number;
}

/** A text that was read. */
export interface JsoncDocument {
  readonly value: unknown;
  /** Where the value at `path` stands, or the nearest one around it. */
  readonly placeOf: (path: readonly PropertyKey[]) => Place;
}

const BYTE_ORDER_MARK = '\uFEFF';
/** What a decoder of UTF-8 puts in place of bytes that are none. */
const REPLACEMENT = '\uFFFD';

/**
 * Reads `text`. A leading byte-order mark of UTF-8 is skipped; a file in
 * another encoding, a syntax error and a key that stands twice are refused.
 */
export function readJsonc(
  text: string,
  file: string,
): result.Result<JsoncDocument, settingsProblem.SettingsProblem[]> {
  const body = text.startsWith(BYTE_ORDER_MARK) ? text.slice(1) : text;
  if (body.startsWith(REPLACEMENT) || body.includes('\0')) {
    return result.err([encodingProblem(file)]);
  }
  const errors: jsoncParser.ParseError[] = [];
  const root = jsoncParser.parseTree(body, errors, {
    allowTrailingComma: true,
    disallowComments: false,
  });
  const syntax = errors.map((err) => syntaxProblem(body, err, file));
  if (syntax.length > 0 || root === undefined) return result.err(syntax);
  const repeated = repeatedKeys(body, root, file);
  if (repeated.length > 0) return result.err(repeated);
  return result.ok({
    value: jsoncParser.getNodeValue(root) as unknown,
    placeOf: (path) => placeAt(body, nearestNode(root, path).offset),
  });
}

function placeAt(text: string, offset: number): Place {
  const before = text.slice(0, offset);
  const lineStart = before.lastIndexOf('\n') + 1;
  return {
    line: before.split('\n').length,
    column: offset - lineStart + 1,
  };
}

function nearestNode(
  root: jsoncParser.Node,
  path: readonly PropertyKey[],
): jsoncParser.Node {
  for (let length = path.length; length > 0; length--) {
    const keys = path.slice(0, length) as jsoncParser.JSONPath;
    const node = jsoncParser.findNodeAtLocation(root, keys);
    if (node !== undefined) {
      return node.parent?.type === 'property' ? node.parent : node;
    }
  }
  return root;
}

function encodingProblem(file: string): settingsProblem.SettingsProblem {
  return {
    file,
    line: 1,
    column: 1,
    path: '',
    value: '',
    message: 'the file is not in UTF-8',
    remedy: 'Save it as UTF-8, with or without a byte-order mark.',
  };
}

function syntaxProblem(
  text: string,
  err: jsoncParser.ParseError,
  file: string,
): settingsProblem.SettingsProblem {
  const name = jsoncParser.printParseErrorCode(err.error);
  return {
    file,
    ...placeAt(text, err.offset),
    path: '',
    value: '',
    message: `syntax error: ${name}`,
    remedy: 'Write JSON; comments and trailing commas are allowed.',
  };
}

/**
 * JSON parsers keep the last of two equal keys without a word, so an edit of
 * the first one would have no effect and nobody would be told.
 */
function repeatedKeys(
  text: string,
  node: jsoncParser.Node,
  file: string,
): settingsProblem.SettingsProblem[] {
  const problems: settingsProblem.SettingsProblem[] = [];
  const seen = new Set<string>();
  for (const child of node.children ?? []) {
    const key = node.type === 'object' ? child.children?.[0] : undefined;
    if (key !== undefined) {
      const name = String(key.value);
      if (seen.has(name)) problems.push(repeatedProblem(text, key, file));
      seen.add(name);
    }
    problems.push(...repeatedKeys(text, child, file));
  }
  return problems;
}

function repeatedProblem(
  text: string,
  key: jsoncParser.Node,
  file: string,
): settingsProblem.SettingsProblem {
  return {
    file,
    ...placeAt(text, key.offset),
    path: String(key.value),
    value: '',
    message: 'the key stands twice in one object',
    remedy: 'Keep one of the two.',
  };
}
