/**
 * The network between nodes, over TCP. A connection is opened when a message needs
 * it, authenticates both sides with the shared peer key, is monitored by heartbeats
 * and closed when it is idle or silent. Each direction of a pair of nodes has its own
 * connection.
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
  /** Where to listen. With port 0 a free port is chosen; `PeerNetwork.address` contains it. */
  address: PeerAddress
  /** Name of the deployment; nodes of other deployments are rejected. */
  cluster: string
  /** Secret shared by all nodes of the deployment. Never sent over the network or logged. */
  peerKey: string
  clock: Clock
  log: Log
  metrics: Metrics
  bounds?: Partial<PeerBounds>
}

/** Key of a link. It contains the address, because a replacement with the same id listens at another one. */
function linkKey (to: PeerAddress): string {
  return `${to.node} ${to.host}:${to.port}`
}

/** Listens for peers and creates the node's peer network. Rejects if the address can't be bound. */
export async function createPeerNetwork (options: PeerNetworkOptions): Promise<PeerNetwork> {
  const { clock, log, metrics } = options
  const bounds = { ...defaultPeerBounds, ...options.bounds }
  const handshake = { node: options.address.node, cluster: options.cluster, peerKey: options.peerKey }
  const handlers = new Map<string, PeerHandler>()
  const currentLinks = new Map<string, Link>()
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
    onReceived: traffic.countReceived,
    onWritten: traffic.countSent
  })
  const address = { ...options.address, port: listener.port }

  async function removeWhenEnded (to: PeerAddress, link: Link): Promise<void> {
    const cause = await link.ended
    links.delete(link)
    if (currentLinks.get(linkKey(to)) === link) currentLinks.delete(linkKey(to))
    metrics.count('peer_links_ended_total', { reason: cause.kind })
    if (cause.kind === 'PeerSilent') log('peerSilent', { peer: to.node })
    if (cause.kind === 'PeerRejected') log('peerRejected', { peer: to.node, cause: cause.message })
  }

  function getLink (to: PeerAddress): Link {
    const known = currentLinks.get(linkKey(to))
    if (known?.isUsable() === true) return known
    // An older link keeps waiting for its pending responses, until its heartbeat finds it silent or idle.
    const link = openLink({ to, handshake, bounds, clock, onReceived: traffic.countReceived, onWritten: traffic.countSent })
    currentLinks.set(linkKey(to), link)
    links.add(link)
    removeWhenEnded(to, link)
    return link
  }

  async function requestSelf (kind: string, body: unknown): ReturnType<PeerNetwork['request']> {
    const handler = handlers.get(kind)
    if (handler === undefined) return err(createError('PeerUnreachable', { peer: address.node, cause: `it has no handler for messages of kind "${kind}"` }))
    try {
      return ok(await handler(address.node, body))
    } catch (thrown) {
      return err(createError('PeerFailed', { peer: address.node, cause: String(thrown) }))
    }
  }

  async function request (to: PeerAddress, kind: string, body: unknown, deadlineAtMs: number): ReturnType<PeerNetwork['request']> {
    traffic.countMessage(kind)
    if (closed) return err(createError('PeerUnreachable', { peer: to.node, cause: 'this node is closing' }))
    if (to.node === address.node) return requestSelf(kind, body)
    return getLink(to).request(kind, body, deadlineAtMs)
  }

  function send (to: PeerAddress, kind: string, body: unknown): void {
    traffic.countMessage(kind)
    if (closed) return
    if (to.node === address.node) {
      requestSelf(kind, body)
      return
    }
    if (!getLink(to).send(kind, body)) metrics.count('peer_dropped_total', { reason: 'send-queue-full' })
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
    traffic: traffic.snapshot,
    close
  }
}
