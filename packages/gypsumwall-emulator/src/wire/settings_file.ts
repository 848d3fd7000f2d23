/** The settings file that the platform writes for an entry. */

/** Settings of an entry. */
export interface EntrySettings {
  readonly name: string;
  readonly ip: string;
  readonly zone: string;
  readonly callersPort: number;
  readonly readinessPort: number;
  readonly peerPort: number;
  readonly storeAddress: string;
  readonly adviserAddress: string | undefined;
  readonly heartbeatMs: number;
  readonly longestLeaseMs: number;
  readonly stopMs: number;
  readonly gangTimeoutMs: number;
  readonly restoreMs: number;
  readonly checkpointMs: number;
  readonly graceMs: number;
  readonly statusKeepMs: number;
  readonly cpuShare: number;
  readonly memoryMb?: number | undefined;
  readonly maxFds?: number | undefined;
}

const SECOND_MS = 1_000;

/** Encodes the file. */
export function encodeSettings(settings: EntrySettings): string {
  const {ip, zone, peerPort} = settings;
  const fields: Readonly<Record<string, string | number | undefined>> = {
    nodeName: settings.name,
    role: 'entry',
    machineClass: 'frontend',
    serves: 'frontend',
    ip,
    zone,
    region: 'loopback',
    'listen.front': `${ip}:${settings.callersPort}`,
    'listen.readiness': `${ip}:${settings.readinessPort}`,
    internalPorts: `${peerPort},${peerPort}`,
    bootstrap: 'true',
    'limits.cpuShare': settings.cpuShare,
    'limits.cores': 1,
    'limits.memoryMb': settings.memoryMb,
    'limits.maxFds': settings.maxFds,
    discovery: 'platform',
    heartbeatMs: settings.heartbeatMs,
    'bounds.graceS': settings.graceMs / SECOND_MS,
    'bounds.holdMaxMs': settings.longestLeaseMs,
    'bounds.stopTimeoutMs': settings.stopMs,
    'bounds.gangTimeoutMs': settings.gangTimeoutMs,
    'bounds.status_s': settings.statusKeepMs / SECOND_MS,
    'bounds.checkpointS': settings.checkpointMs / SECOND_MS,
    'bounds.restoreMs': settings.restoreMs,
    'bounds.requireFencing': 'true',
    controlMode: 'rpc',
    placementAdvisor: settings.adviserAddress ?? '',
    'platform.addr': settings.storeAddress,
    'platform.form': 'log',
  };
  const lines = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => [name, value].join('='));
  return lines.join('\n') + '\n';
}
