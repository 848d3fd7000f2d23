/**
 * A machine of the system: the deployed entry as a process, started again by
 * the platform when it ends.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as testing from '@gypsumwall/testing';
import * as types from '@gypsumwall/types';
import type * as entryClient from '../wire/entry_client.js';
import * as settingsFile from '../wire/settings_file.js';
import type * as deployFile from './deploy_file.js';
import * as loopback from './loopback.js';

/** A machine with its entry. */
export interface EntryMachine {
  readonly name: string;
  readonly addresses: entryClient.EntryAddresses;
  readonly logFile: string;
  start(): void;
  /** Ends the process without notice; it is started again later. */
  kill(): void;
  /** Ends it for good. */
  stop(): Promise<void>;
}

/** What the machine is made with. */
export interface EntryMachineOptions {
  readonly clock: types.clock.Clock;
  /** For its address only; the rest of the run mustn't depend on it. */
  readonly random: types.random.Random;
  readonly role: deployFile.DeployedRole;
  /** For settings and logs. */
  readonly folder: string;
  readonly restartMs: number;
  readonly settings: Omit<
    settingsFile.EntrySettings,
    'ip' | 'callersPort' | 'readinessPort' | 'peerPort'
  >;
}

const SETTINGS_VARIABLE = 'GYPSUMWALL_SETTINGS';

/** Creates a machine whose entry doesn't run yet. */
export async function createEntryMachine(
  options: EntryMachineOptions,
): Promise<EntryMachine> {
  const {clock, role, folder} = options;
  const {name} = options.settings;
  const ip = await loopback.findFreeIp(options.random, role.metricsPort);
  const settings: settingsFile.EntrySettings = {
    ...options.settings,
    ip,
    callersPort: await loopback.findFreePort(ip),
    readinessPort: await loopback.findFreePort(ip),
    peerPort: await loopback.findFreePort(ip),
  };
  const settingsPath = path.join(folder, `${name}.conf`);
  fs.writeFileSync(settingsPath, settingsFile.encodeSettings(settings));
  const logFile = path.join(folder, `${name}.log`);
  const stopped = new AbortController();
  let child: testing.child.Child | undefined;

  function start(): void {
    const started = testing.child.startChild({
      name,
      logFile,
      args: role.args,
      output: 'log_file',
      env: {[SETTINGS_VARIABLE]: settingsPath, PATH: process.env.PATH ?? ''},
    });
    child = started;
    void started.exited.then(startAgain);
  }

  async function startAgain(): Promise<void> {
    await types.clock.sleepFor(clock, options.restartMs, stopped.signal);
    if (!stopped.signal.aborted) start();
  }

  return {
    name,
    logFile,
    start,
    addresses: {
      callers: `${ip}:${settings.callersPort}`,
      readiness: `${ip}:${settings.readinessPort}`,
      metrics: `${ip}:${role.metricsPort}/${role.metricsPath}`,
    },
    kill: () => child?.sendSignal('SIGKILL'),
    async stop() {
      stopped.abort();
      child?.sendSignal('SIGKILL');
      await child?.exited;
    },
  };
}
