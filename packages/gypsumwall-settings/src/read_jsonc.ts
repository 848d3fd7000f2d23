/** Parses JSON with comments and provides the position of each value. */
import * as jsoncParser from 'jsonc-parser';
import * as result from 'true-myth/result';
import type * as settingsProblem from './settings_problem.js';

/** A position in a text; both numbers count from 1. */
export interface TextPosition {
  readonly line: number;
  readonly column: number;
}

/** A parsed text. */
export interface JsoncDocument {
  readonly value: unknown;
  /**
   * Position of the value at `path`, or of the innermost existing value that
   * would contain it.
   */
  readonly placeOf: (path: readonly PropertyKey[]) => TextPosition;
}

const BYTE_ORDER_MARK = '\uFEFF';
/** UTF-8 decoders replace invalid bytes by this character. */
const REPLACEMENT_CHARACTER = '\uFFFD';

/**
 * Parses `text`. A leading byte-order mark of UTF-8 is ignored. A file in
 * another encoding, a syntax error or a duplicate key in an object is refused.
 */
export function readJsonc(
  text: string,
  file: string,
): result.Result<JsoncDocument, settingsProblem.SettingsProblem[]> {
  const body = text.startsWith(BYTE_ORDER_MARK) ? text.slice(1) : text;
  if (body.startsWith(REPLACEMENT_CHARACTER) || body.includes('\0')) {
    return result.err([createEncodingProblem(file)]);
  }
  const errors: jsoncParser.ParseError[] = [];
  const root = jsoncParser.parseTree(body, errors, {
    allowTrailingComma: true,
    disallowComments: false,
  });
  const syntaxProblems = errors.map((err) =>
    createSyntaxProblem(body, err, file),
  );
  if (syntaxProblems.length > 0 || root === undefined)
    return result.err(syntaxProblems);
  const repeatedKeyProblems = findRepeatedKeys(body, root, file);
  if (repeatedKeyProblems.length > 0) return result.err(repeatedKeyProblems);
  return result.ok({
    value: jsoncParser.getNodeValue(root) as unknown,
    placeOf: (path) => positionAt(body, findNearestNode(root, path).offset),
  });
}

function positionAt(text: string, offset: number): TextPosition {
  const before = text.slice(0, offset);
  const lineStart = before.lastIndexOf('\n') + 1;
  return {
    line: before.split('\n').length,
    column: offset - lineStart + 1,
  };
}

function findNearestNode(
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

function createEncodingProblem(file: string): settingsProblem.SettingsProblem {
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

function createSyntaxProblem(
  text: string,
  err: jsoncParser.ParseError,
  file: string,
): settingsProblem.SettingsProblem {
  const name = jsoncParser.printParseErrorCode(err.error);
  return {
    file,
    ...positionAt(text, err.offset),
    path: '',
    value: '',
    message: `syntax error: ${name}`,
    remedy: 'Write JSON; comments and trailing commas are allowed.',
  };
}

/**
 * Finds duplicate keys. JSON parsers use the last of two equal keys without a
 * warning, so an edit of the first one would silently have no effect.
 */
function findRepeatedKeys(
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
      if (seen.has(name))
        problems.push(createRepeatedKeyProblem(text, key, file));
      seen.add(name);
    }
    problems.push(...findRepeatedKeys(text, child, file));
  }
  return problems;
}

function createRepeatedKeyProblem(
  text: string,
  key: jsoncParser.Node,
  file: string,
): settingsProblem.SettingsProblem {
  return {
    file,
    ...positionAt(text, key.offset),
    path: String(key.value),
    value: '',
    message: 'the key occurs twice in one object',
    remedy: 'Keep one of the two.',
  };
}
