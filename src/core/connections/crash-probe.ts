/**
 * Tells a crashed backend server from a broken connection: a process that ended
 * refuses new connections, whereas one that reset a connection, or whose network
 * was cut, doesn't.
 */
import { connect } from 'node:net'

/** What a new connection shows. */
export type ProbeResult = 'refused' | 'accepted' | 'unknown'

/** Time to wait for a connection; several round trips. */
const probeTimeoutMs = 250

/** Opens a connection to the address and closes it. Never rejects. */
export function probeAddress ({ host, port }: { host: string, port: number }): Promise<ProbeResult> {
  return new Promise(resolve => {
    const socket = connect({ host, port })
    const timer = setTimeout(() => end('unknown'), probeTimeoutMs)
    function end (result: ProbeResult): void {
      clearTimeout(timer)
      socket.destroy()
      resolve(result)
    }
    socket.on('connect', () => end('accepted'))
    socket.on('error', error => end((error as NodeJS.ErrnoException).code === 'ECONNREFUSED' ? 'refused' : 'unknown'))
  })
}

/** Probes backend servers; simultaneous probes of one share their result. */
export function createCrashProbe (probe = probeAddress) {
  const open = new Map<string, Promise<ProbeResult>>()
  return async (address: { host: string, port: number }): Promise<ProbeResult> => {
    const key = `${address.host}:${address.port}`
    const shared = open.get(key) ?? probe(address).finally(() => open.delete(key))
    open.set(key, shared)
    return await shared
  }
}
