/** The platform's instance list over HTTP. */
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

/** Makes a client of the list. */
export function createHttpInstanceList(
  options: HttpInstanceListOptions,
): instanceList.InstanceList {
  const dispatcher = new undici.Agent({connections: 2});
  return {
    fetch: async () => {
      const answer = await httpCall.callJson<ListBody>({
        step: 'list.fetch',
        peer: options.url,
        method: 'GET',
        url: `${options.url}/v1/instances`,
        timeoutMs: options.timeoutMs,
        dispatcher,
      });
      return answer.map((body) => body.instances);
    },
  };
}
