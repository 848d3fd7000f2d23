/** Promises of the system, and findings about broken ones. */

/** What the system promises its users. The demo prints these texts. */
export type PromiseName =
  | 'no task runs twice at a time'
  | 'gangs start whole'
  | 'steps keep their order'
  | 'nothing accepted is lost'
  | 'jobs fail only for a cause'
  | 'lasting tasks run again in time'
  | 'nothing runs that was not asked for'
  | 'tasks that crash workers are given up'
  | 'organisations stay within their quotas'
  | 'keys count as configured';

/** All promises, in the order in which reports list them. */
export const PROMISES: readonly PromiseName[] = [
  'no task runs twice at a time',
  'gangs start whole',
  'steps keep their order',
  'nothing accepted is lost',
  'jobs fail only for a cause',
  'lasting tasks run again in time',
  'nothing runs that was not asked for',
  'tasks that crash workers are given up',
  'organisations stay within their quotas',
  'keys count as configured',
];

/** One violation of a promise. */
export interface Finding {
  readonly promise: PromiseName;
  /** Names the job, task or worker and describes the violation. */
  readonly detail: string;
}
