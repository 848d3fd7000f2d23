/**
 * One stand-in process: `node stand_in.js '{"kind":"platform"}'`, or the name
 * of a file with such JSON. It prints a line of JSON once it listens, and exits
 * when its standard input is closed, so that it never outlives the process that
 * started it.
 */
import * as fs from 'node:fs';
import * as platformStandIn from '../platform_stand_in.js';
import * as standInConfig from '../stand_in_config.js';
import type * as standInServer from '../stand_in_server.js';
import * as upstreamsStandIn from '../upstreams_stand_in.js';
import * as workersStandIn from '../workers_stand_in.js';

function create(
  cfg: standInConfig.StandInConfig,
): Promise<standInServer.StandIn> {
  switch (cfg.kind) {
    case 'platform':
      return platformStandIn.createPlatformStandIn(cfg);
    case 'workers':
      return workersStandIn.createWorkersStandIn(cfg);
    case 'upstreams':
      return upstreamsStandIn.createUpstreamsStandIn(cfg);
  }
}

function readConfig(argument: string): standInConfig.StandInConfig {
  const text = argument.startsWith('{')
    ? argument
    : fs.readFileSync(argument, 'utf8');
  return standInConfig.standInConfigSchema.parse(JSON.parse(text));
}

const argument = process.argv[2];
if (argument === undefined) {
  process.stderr.write('usage: stand_in.js JSON|FILE\n');
  process.exit(2);
}
const standIn = await create(readConfig(argument));
const {control, addresses} = standIn;
process.stdout.write(
  `${JSON.stringify({event: 'listening', control, addresses})}\n`,
);
process.stdin.resume();
process.stdin.on('end', () => process.exit(0));
