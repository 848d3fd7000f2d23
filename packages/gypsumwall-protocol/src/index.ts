export * as peer from './gypsumwall/peer/v1/peer_pb.js';
