/** Records of the stream `config`, written when operators publish settings. */

/** A path in the settings tree: `cell` or `teams/<team>`. */
export type SubtreePath = string;

/** A record of the stream. Stored as JSON; the field names must stay. */
export interface PublishRecord {
  readonly type: 'publish';
  readonly path: SubtreePath;
  /**
   * Offset of the record that last set the path, or -1 for none. The publish
   * takes effect only if no later record before it in the log set the path.
   */
  readonly base: number;
  /** The subtree; its schema is in `@gypsumwall/settings`. */
  readonly value: unknown;
  readonly operator: string;
}
