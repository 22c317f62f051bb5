/**
 * The links between nodes over TCP. A connection is opened when a message needs
 * it, proves both ends by the shared peer key, is kept by heartbeats and closed
 * when it is idle or silent. Each way of a pair of nodes has its own connection.
 */
import { err, ok } from 'true-myth/result'
import { createError } from '../errors/index.ts'
import { defaultPeerBounds } from './bounds.ts'
import { openLink } from './link.ts'
import { createPeerListener } from './listener.ts'
import { createTraffic } from './traffic.ts'
import type { Clock } from '../clock/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { PeerBounds } from './bounds.ts'
import type { Link } from './link.ts'
import type { PeerAddress, PeerHandler, PeerNetwork } from './types.ts'

export type * from './types.ts'
export type { PeerBounds } from './bounds.ts'
export type { MemoryMessage, MemoryNetwork, NetworkFault } from './memory-network.ts'
export { defaultPeerBounds } from './bounds.ts'
export { createMemoryNetwork, delaying, dropping, duplicating } from './memory-network.ts'

/** Options of a node's peer network. */
export interface PeerNetworkOptions {
  /** Where to listen; port 0 picks a free one, which `address` then holds. */
  address: PeerAddress
  /** Name of the deployment; nodes of another one are rejected. */
  cluster: string
  /** Secret that all nodes of the deployment share. Never written to the wire or the log. */
  peerKey: string
  clock: Clock
  log: Log
  metrics: Metrics
  bounds?: Partial<PeerBounds>
}

/** A node that is replaced under the same id listens at another address. */
function linkKey (to: PeerAddress): string {
  return `${to.node} ${to.host}:${to.port}`
}

/** Listens for peers and returns the links to them. Rejects when the address can't be listened at. */
export async function createPeerNetwork (options: PeerNetworkOptions): Promise<PeerNetwork> {
  const { clock, log, metrics } = options
  const bounds = { ...defaultPeerBounds, ...options.bounds }
  const handshake = { node: options.address.node, cluster: options.cluster, peerKey: options.peerKey }
  const handlers = new Map<string, PeerHandler>()
  const current = new Map<string, Link>()
  const links = new Set<Link>()
  const traffic = createTraffic()
  let closed = false

  const listener = await createPeerListener({
    host: options.address.host,
    port: options.address.port,
    handshake,
    bounds,
    clock,
    log,
    metrics,
    handlerOf: kind => handlers.get(kind),
    onReceived: traffic.received,
    onWritten: traffic.sent
  })
  const address = { ...options.address, port: listener.port }

  async function forgetWhenEnded (to: PeerAddress, link: Link): Promise<void> {
    const cause = await link.ended
    links.delete(link)
    if (current.get(linkKey(to)) === link) current.delete(linkKey(to))
    metrics.count('peer_links_ended_total', { reason: cause.kind })
    if (cause.kind === 'PeerSilent') log('peerSilent', { peer: to.node })
    if (cause.kind === 'PeerRejected') log('peerRejected', { peer: to.node, cause: cause.message })
  }

  function linkTo (to: PeerAddress): Link {
    const known = current.get(linkKey(to))
    if (known?.isFresh() === true) return known
    // An older link keeps waiting for its answers, until its heartbeat finds it silent or idle.
    const link = openLink({ to, handshake, bounds, clock, onReceived: traffic.received, onWritten: traffic.sent })
    current.set(linkKey(to), link)
    links.add(link)
    forgetWhenEnded(to, link)
    return link
  }

  async function requestSelf (kind: string, body: unknown): ReturnType<PeerNetwork['request']> {
    const handler = handlers.get(kind)
    if (handler === undefined) return err(createError('PeerUnreachable', { peer: address.node, cause: `it handles no message "${kind}"` }))
    try {
      return ok(await handler(address.node, body))
    } catch (thrown) {
      return err(createError('PeerFailed', { peer: address.node, cause: String(thrown) }))
    }
  }

  async function request (to: PeerAddress, kind: string, body: unknown, deadlineAtMs: number): ReturnType<PeerNetwork['request']> {
    traffic.message(kind)
    if (closed) return err(createError('PeerUnreachable', { peer: to.node, cause: 'this node is closing' }))
    if (to.node === address.node) return requestSelf(kind, body)
    return linkTo(to).request(kind, body, deadlineAtMs)
  }

  function send (to: PeerAddress, kind: string, body: unknown): void {
    traffic.message(kind)
    if (closed) return
    if (to.node === address.node) {
      requestSelf(kind, body)
      return
    }
    if (!linkTo(to).send(kind, body)) metrics.count('peer_dropped_total', { reason: 'send-queue-full' })
  }

  async function close (): Promise<void> {
    closed = true
    const ended = [...links].map(link => link.ended)
    for (const link of links) link.close()
    await Promise.all(ended)
    await listener.close()
  }

  return {
    address,
    send,
    request,
    handle: (kind, handler) => handlers.set(kind, handler),
    traffic: traffic.read,
    close
  }
}
