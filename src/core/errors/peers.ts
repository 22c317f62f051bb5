import { defineError } from './types.ts'

/** Errors of connections between nodes. */
export const peerErrors = {
  PeerUnreachable: defineError<{ peer: string, cause: string }>({
    title: 'Peer unreachable',
    message: ({ peer, cause }) => `Peer "${peer}" can't be reached: ${cause}.`,
    hint: 'Check the peer and the network between both nodes; another peer is used in the meantime.'
  }),
  PeerSilent: defineError<{ peer: string, silentMs: number }>({
    title: 'Peer connection timed out',
    message: ({ peer, silentMs }) => `Nothing was received from peer "${peer}" for ${silentMs} ms.`,
    hint: 'The connection was closed; a new one is opened when needed.'
  }),
  PeerRejected: defineError<{ peer: string, cause: string }>({
    title: 'Peer rejected',
    message: ({ peer, cause }) => `Peer "${peer}" was rejected: ${cause}.`,
    hint: 'Check that both nodes use the same peer key and protocol version.'
  }),
  PeerFailed: defineError<{ peer: string, cause: string }>({
    title: 'Peer failed to handle a message',
    message: ({ peer, cause }) => `Peer "${peer}" received the message but failed to handle it: ${cause}.`,
    hint: 'The work may be partly done; see the log of that peer.'
  })
}
