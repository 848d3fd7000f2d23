/** Calls between machines on virtual time, which faults can drop. */
import type * as types from '@gypsumwall/types';
import type * as claimFaults from './claim_faults.js';
import type * as virtualTime from './virtual_time.js';

interface Endpoint {
  readonly machine: number;
  readonly process: virtualTime.VirtualProcess;
}

/** One call to the process that listens on a machine. */
export interface FakeCall<Reply> {
  readonly from: Endpoint;
  readonly machine: number;
  /** The reply when no answer arrives within the timeout. */
  readonly silent: Reply;
  /** The reply when the machine is up but no process listens. */
  readonly refused: Reply;
  listener(): Endpoint | undefined;
  /** Computes the answer, in the listener's process. */
  answer(): Reply;
}

/** The network; the fault `cut_between` applies to each direction separately. */
export interface FakeNetwork {
  reaches(from: number, to: number): boolean;
  call<Reply>(call: FakeCall<Reply>): Promise<Reply>;
  /** Makes all calls to the machine's address time out. */
  loseMachine(machine: number): void;
  restoreMachine(machine: number): void;
}

/** Options of `createFakeNetwork`. */
export interface FakeNetworkOptions {
  readonly time: virtualTime.VirtualTime;
  readonly random: types.random.Random;
  readonly faults: claimFaults.LastingFaults;
  readonly maxDelayMs: number;
  readonly timeoutMs: number;
}

/** Creates a network on which all machines reach each other. */
export function createFakeNetwork(options: FakeNetworkOptions): FakeNetwork {
  const {time, random, faults} = options;
  const lost = new Set<number>();
  const delay = () => random.integer(0, options.maxDelayMs);
  const reaches = (from: number, to: number) =>
    !faults.isActive(`cut_between ${from} ${to}`);

  function call<Reply>(call: FakeCall<Reply>): Promise<Reply> {
    const {from, machine} = call;
    return new Promise((resolve) => {
      const reply = (value: Reply) => {
        if (!reaches(from.machine, machine)) return;
        from.process.deliverAt(time.now() + delay(), () => resolve(value));
      };
      const timeoutAt = time.now() + options.timeoutMs;
      from.process.deliverAt(timeoutAt, () => resolve(call.silent));
      time.at(time.now() + delay(), () => {
        if (!reaches(from.machine, machine) || lost.has(machine)) return;
        const target = call.listener();
        if (target?.process.isAlive() !== true) {
          reply(call.refused);
          return;
        }
        target.process.deliverAt(time.now(), () => reply(call.answer()));
      });
    });
  }

  return {
    reaches,
    call,
    loseMachine: (machine) => void lost.add(machine),
    restoreMachine: (machine) => void lost.delete(machine),
  };
}
