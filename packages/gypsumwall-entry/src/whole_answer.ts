/** Reads an upstream's whole answer, so that no caller gets part of one. */
import * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';

/** An answer whose body has been read to its end. */
export interface WholeAnswer {
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** Returns the whole answer, or why it is incomplete. */
export async function readWholeAnswer(
  answer: platform.upstream.UpstreamAnswer,
): Promise<result.Result<WholeAnswer, string>> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of answer.body) chunks.push(chunk as Buffer);
  } catch (thrown) {
    return result.err(
      `the answer broke off: ${types.stepError.messageOf(thrown)}`,
    );
  }
  const body = Buffer.concat(chunks);
  const {contentLength, contentType} = answer;
  if (contentLength !== undefined && body.length !== contentLength) {
    return result.err(
      `the answer has ${body.length} of ${contentLength} bytes`,
    );
  }
  return result.ok({contentType, body});
}
