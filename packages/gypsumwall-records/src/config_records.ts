/** Records of the stream `config`: what operators published. */

/** A path in the tree: `cell` or `teams/<team>`. */
export type SubtreePath = string;

/** A record of the stream. */
export interface PublishRecord {
  readonly type: 'publish';
  readonly path: SubtreePath;
  /**
   * Offset of the record that last set the path, or -1 for none. The record
   * counts only if that still holds when the log reaches it.
   */
  readonly base: number;
  /** The subtree, as its schema in `@gypsumwall/settings` checks it. */
  readonly value: unknown;
  readonly operator: string;
}
