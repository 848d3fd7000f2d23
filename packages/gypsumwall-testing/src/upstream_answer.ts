/**
 * Answers of a stand-in upstream; each begins with a description of its own
 * execution.
 */
import * as crypto from 'node:crypto';
import * as zod from 'zod';

/** Identifies an execution and its request. */
export interface ExecutionInfo {
  readonly executionId: string;
  readonly upstreamId: string;
  readonly team: string;
  readonly operation: string;
  readonly bodyHash: string;
}

const workSchema = zod.object({
  /** How long the execution takes. */
  workMs: zod.number().min(0).default(5),
  /** Length of the answer in bytes, if that is longer than its first line. */
  answerBytes: zod.number().int().min(0).default(0),
});

/** The work that a request asks for. */
export type UpstreamWork = zod.infer<typeof workSchema>;

/**
 * Parses a request's body; the defaults apply to a body that isn't valid JSON
 * of this form.
 */
export function parseWork(body: Buffer): UpstreamWork {
  try {
    return workSchema.parse(JSON.parse(body.toString('utf8')));
  } catch {
    return workSchema.parse({});
  }
}

/** Returns the SHA-256 hash in hex. */
export function sha256Hex(bytes: Buffer | Uint8Array): string {
  return crypto.createHash('sha256').update(bytes).digest('hex');
}

/**
 * Creates the answer: a line of JSON, then padding up to the requested length.
 */
export function makeAnswer(
  execution: ExecutionInfo,
  answerBytes: number,
): Buffer {
  const line = Buffer.from(`${JSON.stringify(execution)}\n`);
  const paddingBytes = Math.max(0, answerBytes - line.length);
  return Buffer.concat([
    line,
    Buffer.alloc(paddingBytes, execution.executionId),
  ]);
}
