/**
 * Mutual authentication of two nodes that share the peer key. Each side proves
 * that it holds the key by an HMAC over both nonces, both node ids, the cluster
 * and its own role, so that no proof can be reflected or used again. The key
 * itself never leaves the node.
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

/** Largest frame that is read before the peer has proved who it is. */
export const maxHandshakeFrameBytes = 1024

const nonceBytes = 32

/** What a node needs to prove itself. */
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

interface Exchange {
  cluster: string
  dialer: string
  listener: string
  dialerNonce: Uint8Array
  listenerNonce: Uint8Array
}

function proofOf (peerKey: string, role: 'dialer' | 'listener', exchange: Exchange): Buffer {
  const hmac = createHmac('sha256', peerKey)
  const texts = [role, String(peerProtocolVersion), exchange.cluster, exchange.dialer, exchange.listener]
  for (const text of texts) hmac.update(`${Buffer.byteLength(text)}:${text}`)
  hmac.update(exchange.dialerNonce)
  hmac.update(exchange.listenerNonce)
  return hmac.digest()
}

function proofHolds (expected: Buffer, given: Uint8Array): boolean {
  return given.length === expected.length && timingSafeEqual(expected, given)
}

function rejected (peer: string, cause: string): CyclamenError<'PeerRejected'> {
  return createError('PeerRejected', { peer, cause })
}

async function readShape<Shape> (channel: Channel, shape: z.ZodType<Shape>, peer: string): Promise<Shape> {
  const value = await channel.read()
  if (value === undefined) throw rejected(peer, 'it closed the connection during authentication')
  const parsed = shape.safeParse(value)
  if (!parsed.success) throw rejected(peer, 'it sent a malformed authentication message')
  return parsed.data
}

function writeValue (channel: Channel, value: unknown): void {
  channel.write({ bytes: encodeFrame(value), written: false })
}

/** The dialer's side. Resolves when both have proved themselves; throws `PeerRejected` otherwise. */
export async function authenticateAsDialer (channel: Channel, options: HandshakeOptions, expectedNode: NodeId): Promise<void> {
  const dialerNonce = randomBytes(nonceBytes)
  writeValue(channel, [peerProtocolVersion, options.cluster, options.node, dialerNonce])
  const [version, listener, listenerNonce, proof] = await readShape(channel, challengeShape, expectedNode)
  if (version !== peerProtocolVersion) throw rejected(expectedNode, `it speaks protocol version ${version}, this node ${peerProtocolVersion}`)
  if (listener !== expectedNode) throw rejected(expectedNode, `node "${listener}" listens at its address`)
  const exchange = { cluster: options.cluster, dialer: options.node, listener, dialerNonce, listenerNonce }
  if (!proofHolds(proofOf(options.peerKey, 'listener', exchange), proof)) throw rejected(expectedNode, 'its proof of the peer key is wrong')
  writeValue(channel, [proofOf(options.peerKey, 'dialer', exchange)])
  await readShape(channel, acceptedShape, expectedNode)
}

/** The listener's side. Resolves with the dialer's id; throws `PeerRejected` otherwise. */
export async function authenticateAsListener (channel: Channel, options: HandshakeOptions): Promise<NodeId> {
  const [version, cluster, dialer, dialerNonce] = await readShape(channel, helloShape, 'unknown')
  const listenerNonce = randomBytes(nonceBytes)
  if (version !== peerProtocolVersion) {
    // The challenge still goes out, so that the other side can name both versions; its proof is empty.
    writeValue(channel, [peerProtocolVersion, options.node, listenerNonce, Buffer.alloc(0)])
    throw rejected(dialer, `it speaks protocol version ${version}, this node ${peerProtocolVersion}`)
  }
  if (cluster !== options.cluster) throw rejected(dialer, `it belongs to cluster "${cluster}"`)
  if (dialerNonce.length !== nonceBytes) throw rejected(dialer, 'its nonce has the wrong length')
  const exchange = { cluster, dialer, listener: options.node, dialerNonce, listenerNonce }
  writeValue(channel, [peerProtocolVersion, options.node, listenerNonce, proofOf(options.peerKey, 'listener', exchange)])
  const [proof] = await readShape(channel, proofShape, dialer)
  if (!proofHolds(proofOf(options.peerKey, 'dialer', exchange), proof)) throw rejected(dialer, 'its proof of the peer key is wrong')
  writeValue(channel, [true])
  return toId<NodeId>(dialer)
}
