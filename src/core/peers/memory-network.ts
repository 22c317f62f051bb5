/**
 * An in-memory network for many nodes in one process, with injected faults and a
 * given clock. Bodies pass through the wire codec, so that types and sizes are the
 * same as in the TCP network.
 */
import { err, ok } from 'true-myth/result'
import { createError } from '../errors/index.ts'
import { decodeValue, encodeFrame, messageType } from './codec.ts'
import { createTraffic } from './traffic.ts'
import type { Result } from 'true-myth'
import type { Clock } from '../clock/index.ts'
import type { NodeId } from '../ids/index.ts'
import type { WireMessage } from './codec.ts'
import type { Traffic } from './traffic.ts'
import type { PeerAddress, PeerError, PeerHandler, PeerNetwork } from './types.ts'

/** A message in transit. */
export interface MemoryMessage {
  from: NodeId
  to: NodeId
  kind: string
  leg: 'send' | 'request' | 'answer'
}

/**
 * A fault that changes the deliveries of a message. It gets the planned deliveries as
 * delays in milliseconds and returns the new ones: an empty list drops the message,
 * two delays deliver it twice.
 */
export type NetworkFault = (message: MemoryMessage, delaysMs: number[]) => number[]

/** Options of a memory network. */
export interface MemoryNetworkOptions {
  clock: Clock
  /** One-way latency; 1 ms by default. */
  latencyMs?: number
  faults?: NetworkFault[]
}

/** The shared network of several nodes in one process. */
export interface MemoryNetwork {
  /** Adds a node and returns its network. */
  join: (address: PeerAddress) => PeerNetwork
  /** Adds a fault; returns a function that removes it. */
  addFault: (fault: NetworkFault) => () => void
  /** Drops all messages from one node to another, in this direction only; returns a function that ends this. */
  cut: (from: NodeId, to: NodeId) => () => void
  /** Freezes a node, like a paused process: its sleeps don't end, and its messages in both directions wait. Returns a function that thaws it. */
  freeze: (node: NodeId) => () => void
  /** A clock whose sleeps don't end while the node is frozen. */
  clockOf: (node: NodeId) => Clock
  /** Resolves when the node isn't frozen; fakes of other services wait for it. */
  whenThawed: (node: NodeId) => Promise<void>
}

interface MemoryNode {
  address: PeerAddress
  handlers: Map<string, PeerHandler>
  traffic: Traffic
  deliver: (from: NodeId, message: WireMessage) => void
}

interface Freeze {
  thawed: Promise<void>
  thaw: () => void
}

/** Creates an empty memory network. */
export function createMemoryNetwork (options: MemoryNetworkOptions): MemoryNetwork {
  const { clock, latencyMs = 1 } = options
  const nodes = new Map<NodeId, MemoryNode>()
  const frozen = new Map<NodeId, Freeze>()
  let faults = [...options.faults ?? []]

  function addFault (fault: NetworkFault): () => void {
    faults.push(fault)
    return () => { faults = faults.filter(other => other !== fault) }
  }

  function cut (from: NodeId, to: NodeId): () => void {
    return addFault((message, delaysMs) => message.from === from && message.to === to ? [] : delaysMs)
  }

  function freeze (node: NodeId): () => void {
    if (frozen.has(node)) return frozen.get(node)!.thaw
    let resolveThawed = (): void => {}
    const thawed = new Promise<void>(resolve => { resolveThawed = resolve })
    const thaw = (): void => {
      frozen.delete(node)
      resolveThawed()
    }
    frozen.set(node, { thawed, thaw })
    return thaw
  }

  async function whenThawed (node: NodeId): Promise<void> {
    for (let state = frozen.get(node); state !== undefined; state = frozen.get(node)) await state.thawed
  }

  function clockOf (node: NodeId): Clock {
    return {
      ...clock,
      sleep: async (durationMs, signal) => {
        await clock.sleep(durationMs, signal)
        await whenThawed(node)
      }
    }
  }

  async function deliverLater (message: MemoryMessage, frame: Buffer, delayMs: number): Promise<void> {
    await clock.sleep(delayMs)
    await whenThawed(message.to)
    const receiver = nodes.get(message.to)
    if (receiver === undefined) return
    receiver.traffic.countReceived(frame.length)
    receiver.deliver(message.from, decodeValue(frame.subarray(4)) as WireMessage)
  }

  async function transmit (message: MemoryMessage, frame: Buffer): Promise<void> {
    await whenThawed(message.from)
    nodes.get(message.from)?.traffic.countSent(frame.length)
    const delaysMs = faults.reduce((delays, fault) => fault(message, delays), [latencyMs])
    for (const delayMs of delaysMs) deliverLater(message, frame, delayMs)
  }

  function join (address: PeerAddress): PeerNetwork {
    const self = address.node
    const handlers = new Map<string, PeerHandler>()
    const traffic = createTraffic()
    const pending = new Map<number, { kind: string, settle: (result: Result<unknown, PeerError>) => void }>()
    const nodeClock = clockOf(self)
    let nextId = 1

    function write (to: NodeId, kind: string, leg: MemoryMessage['leg'], value: WireMessage): void {
      transmit({ from: self, to, kind, leg }, encodeFrame(value))
    }

    async function handleRequest (from: NodeId, message: Extract<WireMessage, [3, ...unknown[]]>): Promise<void> {
      const [, id, kind, deadlineAtMs, body] = message
      const handler = handlers.get(kind)
      if (handler === undefined) return write(from, kind, 'answer', [messageType.failure, id, `it has no handler for messages of kind "${kind}"`, false])
      if (deadlineAtMs <= clock.wallMs()) return
      try {
        write(from, kind, 'answer', [messageType.answer, id, await handler(from, body)])
      } catch (thrown) {
        write(from, kind, 'answer', [messageType.failure, id, String(thrown), true])
      }
    }

    async function handleSend (from: NodeId, kind: string, body: unknown): Promise<void> {
      try {
        await handlers.get(kind)?.(from, body)
      } catch {
        // A one-way message has no response that could carry the error.
      }
    }

    function deliver (from: NodeId, message: WireMessage): void {
      if (message[0] === messageType.send) handleSend(from, message[1], message[2])
      if (message[0] === messageType.request) handleRequest(from, message)
      if (message[0] === messageType.answer) pending.get(message[1])?.settle(ok(message[2]))
      if (message[0] === messageType.failure) {
        const [, id, cause, handled] = message
        const error = handled ? createError('PeerFailed', { peer: from, cause }) : createError('PeerUnreachable', { peer: from, cause })
        pending.get(id)?.settle(err(error))
      }
    }

    async function request (to: PeerAddress, kind: string, body: unknown, deadlineAtMs: number): Promise<Result<unknown, PeerError>> {
      traffic.countMessage(kind)
      await whenThawed(self)
      if (!nodes.has(to.node) || !nodes.has(self)) return err(createError('PeerUnreachable', { peer: to.node, cause: 'nothing listens at its address' }))
      const id = nextId++
      const sentAtMs = clock.monotonicMs()
      return new Promise(resolve => {
        const timer = new AbortController()
        function settle (result: Result<unknown, PeerError>): void {
          if (!pending.delete(id)) return
          timer.abort()
          resolve(result)
        }
        async function enforceDeadline (): Promise<void> {
          await nodeClock.sleep(deadlineAtMs - clock.wallMs(), timer.signal)
          settle(err(createError('PeerSilent', { peer: to.node, silentMs: clock.monotonicMs() - sentAtMs })))
        }
        pending.set(id, { kind, settle })
        write(to.node, kind, 'request', [messageType.request, id, kind, deadlineAtMs, body])
        enforceDeadline()
      })
    }

    function send (to: PeerAddress, kind: string, body: unknown): void {
      traffic.countMessage(kind)
      if (nodes.has(self)) write(to.node, kind, 'send', [messageType.send, kind, body])
    }

    nodes.set(self, { address, handlers, traffic, deliver })
    return {
      address,
      send,
      request,
      handle: (kind, handler) => handlers.set(kind, handler),
      traffic: traffic.snapshot,
      close: async () => { nodes.delete(self) }
    }
  }

  return { join, addFault, cut, freeze, clockOf, whenThawed }
}

/** Creates a fault that drops a share of all messages. `share` is from 0 to 1. */
export function dropping (share: number, random: () => number): NetworkFault {
  return (_message, delaysMs) => delaysMs.filter(() => random() >= share)
}

/** Creates a fault that delays each delivery by a random time, so that messages are reordered. */
export function delaying (maxDelayMs: number, random: () => number): NetworkFault {
  return (_message, delaysMs) => delaysMs.map(delayMs => delayMs + Math.floor(random() * maxDelayMs))
}

/** Creates a fault that delivers a share of all messages twice. `share` is from 0 to 1. */
export function duplicating (share: number, random: () => number): NetworkFault {
  return (_message, delaysMs) => delaysMs.flatMap(delayMs => random() < share ? [delayMs, delayMs + 1] : [delayMs])
}
