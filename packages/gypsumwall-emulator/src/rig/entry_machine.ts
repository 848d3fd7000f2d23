/**
 * A machine that runs the deployed entry as a process. The platform restarts
 * the process when it exits.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as testing from '@gypsumwall/testing';
import * as types from '@gypsumwall/types';
import type * as entryClient from '../wire/entry_client.js';
import * as settingsFile from '../wire/settings_file.js';
import type * as deployFile from './deploy_file.js';
import * as loopback from './loopback.js';

/** A machine and its entry. */
export interface EntryMachine {
  readonly name: string;
  readonly addresses: entryClient.EntryAddresses;
  readonly logFile: string;
  start(): void;
  /** Kills the process without notice; it is restarted after `restartMs`. */
  kill(): void;
  /** Stops the process with SIGTERM, and with SIGKILL after the grace period. */
  terminate(): void;
  /** Suspends the process; nothing happens if it isn't running. */
  freeze(): void;
  /** Lets a suspended process continue. */
  thaw(): void;
  isRunning(): boolean;
  /** Id of the process, also after its end; undefined before the first start. */
  pid(): number | undefined;
  /** Kills the process for good. */
  stop(): Promise<void>;
}

/** Options of {@link createEntryMachine}. */
export interface EntryMachineOptions {
  readonly clock: types.clock.Clock;
  /** Used for the address only; nothing that a seed reproduces may depend on it. */
  readonly random: types.random.Random;
  readonly role: deployFile.DeployedRole;
  /** Folder for settings and logs. */
  readonly folder: string;
  readonly restartMs: number;
  readonly settings: Omit<
    settingsFile.EntrySettings,
    'ip' | 'callersPort' | 'readinessPort' | 'peerPort'
  >;
}

const SETTINGS_VARIABLE = 'GYPSUMWALL_SETTINGS';

/** Creates a machine without starting its entry. */
export async function createEntryMachine(
  options: EntryMachineOptions,
): Promise<EntryMachine> {
  const {clock, role, folder} = options;
  const {name} = options.settings;
  const ip = await loopback.findFreeIp(options.random, role.metricsPort);
  const [callersPort, readinessPort, peerPort] = (await loopback.findFreePorts(
    ip,
    3,
  )) as [number, number, number];
  const settings: settingsFile.EntrySettings = {
    ...options.settings,
    ip,
    callersPort,
    readinessPort,
    peerPort,
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
    void started.exited.then(restartAfterDelay);
  }

  async function restartAfterDelay(): Promise<void> {
    await types.clock.sleepFor(clock, options.restartMs, stopped.signal);
    if (!stopped.signal.aborted) start();
  }

  async function terminate(): Promise<void> {
    const target = child;
    target?.sendSignal('SIGTERM');
    const graceMs = options.settings.graceMs;
    await types.clock.sleepFor(clock, graceMs, stopped.signal);
    if (target?.isRunning() === true) target.sendSignal('SIGKILL');
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
    terminate: () => void terminate(),
    freeze: () => child?.sendSignal('SIGSTOP'),
    thaw: () => child?.sendSignal('SIGCONT'),
    isRunning: () => child?.isRunning() === true,
    pid: () => child?.pid,
    async stop() {
      stopped.abort();
      child?.sendSignal('SIGKILL');
      await child?.exited;
    },
  };
}
