/**
 * Mutual authentication of two nodes that share the peer key. Each side proves that
 * it holds the key with an HMAC over both nonces, both node ids, the cluster and its
 * own role, so that a proof can be neither reflected nor replayed. The key itself
 * never leaves the node.
 *
 *     dialer   -> hello     [version, cluster, node, nonce]
 *     listener -> challenge [version, node, nonce, proof of the listener]
 *     dialer   -> proof     [proof of the dialer]
 *     listener -> accepted  [true]
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import { z } from 'zod'
import { createError } from '../errors/index.ts'
import { toId } from '../ids/index.ts'
import { encodeFrame } from './codec.ts'
import type { CyclamenError } from '../errors/index.ts'
import type { NodeId } from '../ids/index.ts'
import type { Channel } from './channel.ts'

/** Version of the protocol between nodes. Nodes of different versions reject each other. */
export const peerProtocolVersion = 1

/** Maximum size of a frame that is read before the peer has authenticated. */
export const maxHandshakeFrameBytes = 1024

const nonceBytes = 32

/** Identity and key with which a node authenticates. */
export interface HandshakeOptions {
  node: NodeId
  cluster: string
  peerKey: string
}

const bytesShape = z.custom<Uint8Array>(value => value instanceof Uint8Array)
const helloShape = z.tuple([z.number(), z.string().max(128), z.string().max(128), bytesShape])
const challengeShape = z.tuple([z.number(), z.string().max(128), bytesShape, bytesShape])
const proofShape = z.tuple([bytesShape])
const acceptedShape = z.tuple([z.literal(true)])

interface HandshakeTranscript {
  cluster: string
  dialer: string
  listener: string
  dialerNonce: Uint8Array
  listenerNonce: Uint8Array
}

function computeProof (peerKey: string, role: 'dialer' | 'listener', transcript: HandshakeTranscript): Buffer {
  const hmac = createHmac('sha256', peerKey)
  const texts = [role, String(peerProtocolVersion), transcript.cluster, transcript.dialer, transcript.listener]
  for (const text of texts) hmac.update(`${Buffer.byteLength(text)}:${text}`)
  hmac.update(transcript.dialerNonce)
  hmac.update(transcript.listenerNonce)
  return hmac.digest()
}

function isValidProof (expected: Buffer, given: Uint8Array): boolean {
  return given.length === expected.length && timingSafeEqual(expected, given)
}

function createRejection (peer: string, cause: string): CyclamenError<'PeerRejected'> {
  return createError('PeerRejected', { peer, cause })
}

async function readMessage<Shape> (channel: Channel, shape: z.ZodType<Shape>, peer: string): Promise<Shape> {
  const value = await channel.read()
  if (value === undefined) throw createRejection(peer, 'it closed the connection during authentication')
  const parsed = shape.safeParse(value)
  if (!parsed.success) throw createRejection(peer, 'it sent a malformed authentication message')
  return parsed.data
}

function writeMessage (channel: Channel, value: unknown): void {
  channel.write({ bytes: encodeFrame(value), written: false })
}

/** The dialer's side. Resolves when both sides have authenticated; throws `PeerRejected` otherwise. */
export async function authenticateAsDialer (channel: Channel, options: HandshakeOptions, expectedNode: NodeId): Promise<void> {
  const dialerNonce = randomBytes(nonceBytes)
  writeMessage(channel, [peerProtocolVersion, options.cluster, options.node, dialerNonce])
  const [version, listener, listenerNonce, proof] = await readMessage(channel, challengeShape, expectedNode)
  if (version !== peerProtocolVersion) throw createRejection(expectedNode, `it uses protocol version ${version}, this node uses version ${peerProtocolVersion}`)
  if (listener !== expectedNode) throw createRejection(expectedNode, `node "${listener}" listens at its address`)
  const transcript = { cluster: options.cluster, dialer: options.node, listener, dialerNonce, listenerNonce }
  if (!isValidProof(computeProof(options.peerKey, 'listener', transcript), proof)) throw createRejection(expectedNode, 'its proof of the peer key is invalid')
  writeMessage(channel, [computeProof(options.peerKey, 'dialer', transcript)])
  await readMessage(channel, acceptedShape, expectedNode)
}

/** The listener's side. Resolves with the dialer's id; throws `PeerRejected` otherwise. */
export async function authenticateAsListener (channel: Channel, options: HandshakeOptions): Promise<NodeId> {
  const [version, cluster, dialer, dialerNonce] = await readMessage(channel, helloShape, 'unknown')
  const listenerNonce = randomBytes(nonceBytes)
  if (version !== peerProtocolVersion) {
    // A challenge with an empty proof is still sent, so that the dialer can report both versions.
    writeMessage(channel, [peerProtocolVersion, options.node, listenerNonce, Buffer.alloc(0)])
    throw createRejection(dialer, `it uses protocol version ${version}, this node uses version ${peerProtocolVersion}`)
  }
  if (cluster !== options.cluster) throw createRejection(dialer, `it belongs to cluster "${cluster}"`)
  if (dialerNonce.length !== nonceBytes) throw createRejection(dialer, 'its nonce has the wrong length')
  const transcript = { cluster, dialer, listener: options.node, dialerNonce, listenerNonce }
  writeMessage(channel, [peerProtocolVersion, options.node, listenerNonce, computeProof(options.peerKey, 'listener', transcript)])
  const [proof] = await readMessage(channel, proofShape, dialer)
  if (!isValidProof(computeProof(options.peerKey, 'dialer', transcript), proof)) throw createRejection(dialer, 'its proof of the peer key is invalid')
  writeMessage(channel, [true])
  return toId<NodeId>(dialer)
}
