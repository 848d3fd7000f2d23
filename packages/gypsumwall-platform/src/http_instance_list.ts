/** Client of the platform's instance list over HTTP. */
import * as result from 'true-myth/result';
import * as undici from 'undici';
import * as httpCall from './http_call.js';
import type * as instanceList from './instance_list.js';

/** Address of the instance list and timeout of a call. */
export interface HttpInstanceListOptions {
  readonly url: string;
  readonly timeoutMs: number;
}

interface ListBody {
  readonly instances: readonly instanceList.ListedInstance[];
}

/** The last list received, with its entity tag. */
interface TaggedList {
  readonly etag: string;
  readonly instances: readonly instanceList.ListedInstance[];
}

const STEP = 'list.fetch';
const STATUS_OK = 200;
const STATUS_NOT_MODIFIED = 304;

/**
 * Creates a client of the instance list. A list of 31,000 workers takes
 * megabytes and rarely changes between two polls, so each request carries the
 * entity tag of the last answer. While the list is unchanged, `fetch` returns
 * the same array object.
 */
export function createHttpInstanceList(
  options: HttpInstanceListOptions,
): instanceList.InstanceList {
  const {url, timeoutMs} = options;
  const dispatcher = new undici.Agent({connections: 2});
  const errorContext = {step: STEP, peer: url};
  let lastList: TaggedList | undefined;

  async function fetchList(): ReturnType<instanceList.InstanceList['fetch']> {
    const previousList = lastList;
    try {
      const res = await undici.request(`${url}/v1/instances`, {
        dispatcher,
        headers:
          previousList === undefined
            ? {}
            : {'if-none-match': previousList.etag},
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await res.body.text();
      if (
        res.statusCode === STATUS_NOT_MODIFIED &&
        previousList !== undefined
      ) {
        return result.ok(previousList.instances);
      }
      if (res.statusCode !== STATUS_OK) {
        return result.err(
          httpCall.createRefusalError(errorContext, res.statusCode, text),
        );
      }
      const {instances} = JSON.parse(text) as ListBody;
      const {etag} = res.headers;
      lastList = typeof etag === 'string' ? {etag, instances} : undefined;
      return result.ok(instances);
    } catch (thrown) {
      return result.err(httpCall.createTransportError(errorContext, thrown));
    }
  }

  return {fetch: fetchList};
}
