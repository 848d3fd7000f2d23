/**
 * Chooses the form of the lines on a worker channel. The holder offers the
 * compact one when it opens the stream, and a peer that knows it answers with
 * its media type; earlier versions use the plain one.
 */
import * as compactForm from './compact_channel_form.js';
import * as lineStream from './line_stream.js';
import * as plainForm from './plain_channel_form.js';
import type * as workerChannel from './worker_channel.js';

/** Media type of the compact form. */
export const COMPACT_TYPE = `${lineStream.LINES_TYPE};form=compact`;

/** Creates the holder's end for the media type of the peer's answer. */
export function createHolderForm(
  mediaType: string | undefined,
  sendsPayload: workerChannel.SendsPayload,
): workerChannel.HolderForm {
  return mediaType === COMPACT_TYPE
    ? compactForm.createHolderForm(sendsPayload)
    : plainForm.createHolderForm();
}

/** Creates the peer's end for the media types that the holder accepts. */
export function createPeerForm(accepted: string | undefined): {
  readonly mediaType: string;
  readonly form: workerChannel.PeerForm;
} {
  return accepted === COMPACT_TYPE
    ? {mediaType: COMPACT_TYPE, form: compactForm.createPeerForm()}
    : {mediaType: lineStream.LINES_TYPE, form: plainForm.createPeerForm()};
}
