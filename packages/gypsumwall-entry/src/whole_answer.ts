/** Reads an upstream's answer to its end, so that a half is never told. */
import * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';

/** An answer that was read to its end. */
export interface WholeAnswer {
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** The whole answer, or why it broke off. */
export async function collect(
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
