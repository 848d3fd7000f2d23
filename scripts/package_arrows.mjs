/**
 * The allowed dependencies between packages. The lint rule and the project
 * references are both generated from this table, so an import that it does not
 * allow fails the build.
 */
export const PACKAGE_ARROWS = {
  types: [],
  settings: ['types'],
  telemetry: ['types'],
  protocol: [],
  platform: ['types', 'telemetry'],
  records: ['types', 'settings', 'telemetry', 'platform'],
  membership: ['types', 'telemetry', 'platform', 'records', 'protocol'],
  placement: ['types'],
  organisations: ['types'],
  scheduling: ['types', 'organisations'],
  cell: ['types', 'telemetry', 'organisations', 'scheduling'],
  routing: ['types', 'telemetry', 'platform'],
  entry: [
    'types',
    'settings',
    'telemetry',
    'protocol',
    'platform',
    'records',
    'membership',
    'placement',
    'routing',
  ],
  '': ['types', 'settings', 'telemetry', 'platform', 'entry'],
  testing: [
    'types',
    'settings',
    'telemetry',
    'protocol',
    'platform',
    'records',
    'membership',
    'placement',
    'routing',
    'entry',
  ],
  emulator: ['types', 'testing'],
  bench: [
    'types',
    'settings',
    'telemetry',
    'protocol',
    'platform',
    'records',
    'membership',
    'placement',
    'organisations',
    'scheduling',
    'routing',
    'entry',
  ],
};

/** Returns the folder of a package, given its short name in the table above. */
export function folderOf(name) {
  return name === '' ? 'gypsumwall' : `gypsumwall-${name}`;
}
