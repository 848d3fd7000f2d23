/** What a stand-in upstream answers: text that shows whose answer it is. */
import * as crypto from 'node:crypto';
import * as zod from 'zod';

/** What an execution was about. */
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
  /** Length of the answer, at least the length of its first line. */
  answerBytes: zod.number().int().min(0).default(0),
});

/** What the request asks of the executor. */
export type UpstreamWork = zod.infer<typeof workSchema>;

/** Reads a request's body; one that is no such JSON asks for little work. */
export function parseWork(body: Buffer): UpstreamWork {
  try {
    return workSchema.parse(JSON.parse(body.toString('utf8')));
  } catch {
    return workSchema.parse({});
  }
}

/** SHA-256 in hex. */
export function sha256Hex(bytes: Buffer | Uint8Array): string {
  return crypto.createHash('sha256').update(bytes).digest('hex');
}

/** The answer: a line of JSON, then filling up to the asked length. */
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
