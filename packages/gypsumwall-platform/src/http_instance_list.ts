/** The platform's instance list over HTTP. */
import * as result from 'true-myth/result';
import * as undici from 'undici';
import * as httpCall from './http_call.js';
import type * as instanceList from './instance_list.js';

/** Where the list is and how long a call may take. */
export interface HttpInstanceListOptions {
  readonly url: string;
  readonly timeoutMs: number;
}

interface ListBody {
  readonly instances: readonly instanceList.ListedInstance[];
}

/** The last answer, by the tag that the platform gave it. */
interface TaggedList {
  readonly etag: string;
  readonly instances: readonly instanceList.ListedInstance[];
}

const STEP = 'list.fetch';
const OK = 200;
const NOT_MODIFIED = 304;

/**
 * Makes a client of the list. It asks with the tag of the last answer: a list
 * of 31,000 workers is megabytes, and mostly the same as a moment ago. While
 * it is, the very same array is given again.
 */
export function createHttpInstanceList(
  options: HttpInstanceListOptions,
): instanceList.InstanceList {
  const {url, timeoutMs} = options;
  const dispatcher = new undici.Agent({connections: 2});
  const where = {step: STEP, peer: url};
  let last: TaggedList | undefined;

  async function fetchList(): ReturnType<instanceList.InstanceList['fetch']> {
    const asked = last;
    try {
      const res = await undici.request(`${url}/v1/instances`, {
        dispatcher,
        headers: asked === undefined ? {} : {'if-none-match': asked.etag},
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await res.body.text();
      if (res.statusCode === NOT_MODIFIED && asked !== undefined) {
        return result.ok(asked.instances);
      }
      if (res.statusCode !== OK) {
        return result.err(httpCall.refusal(where, res.statusCode, text));
      }
      const {instances} = JSON.parse(text) as ListBody;
      const {etag} = res.headers;
      last = typeof etag === 'string' ? {etag, instances} : undefined;
      return result.ok(instances);
    } catch (thrown) {
      return result.err(httpCall.createTransportError(where, thrown));
    }
  }

  return {fetch: fetchList};
}
