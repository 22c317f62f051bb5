/** The UDP socket of the reports; its close doesn't drop what was sent just before. */
import { createSocket } from 'node:dgram'
import { lookup } from 'node:dns'
import { isIPv4 } from 'node:net'
import type { RemoteInfo, SocketOptions } from 'node:dgram'
import type { Metrics } from '../metrics/index.ts'

/** Options of the socket. */
export interface ReportSocketOptions {
  host: string
  port: number
  metrics: Metrics
  onReceived: (bytes: Buffer, from: RemoteInfo) => void
  /** Called with errors after the socket is bound. */
  onError: (error: Error) => void
}

/** A socket for reports and digests. */
export interface ReportSocket {
  /** Rejects if the port can't be bound. */
  bind: () => Promise<void>
  /** Sends one datagram, without waiting for it; does nothing once the socket is closed. */
  send: (kind: 'report' | 'digest' | 'quota', bytes: Buffer, port: number, host: string) => void
  /** Closes the socket as soon as the datagrams that were sent before have left it. */
  close: () => void
}

/** Looks a host up; an address, which nodes usually register, at once and not in a later turn of the event loop. */
const lookUp: NonNullable<SocketOptions['lookup']> = (host, options, callback) => {
  if (isIPv4(host)) callback(null, host, 4)
  else lookup(host, options, callback)
}

/** Creates the socket; `bind` binds it. */
export function createReportSocket ({ host, port, metrics, onReceived, onError }: ReportSocketOptions): ReportSocket {
  const socket = createSocket({ type: 'udp4', lookup: lookUp })
  let isClosed = false
  let waitingCount = 0

  return {
    bind: () => new Promise((resolve, reject) => {
      socket.once('error', reject)
      socket.on('message', (bytes, from) => { if (!isClosed) onReceived(bytes, from) })
      socket.bind(port, host, () => {
        socket.off('error', reject)
        socket.on('error', onError)
        resolve()
      })
    }),
    send: (kind, bytes, toPort, toHost) => {
      if (isClosed) return
      metrics.count('node_reports_sent_total', { kind })
      metrics.count('node_reports_sent_bytes_total', { kind }, bytes.length)
      waitingCount += 1
      const onSent = (error: Error | null): void => {
        waitingCount -= 1
        if (error !== null) metrics.count('node_reports_unsent_total')
        if (isClosed && waitingCount === 0) socket.close()
      }
      try {
        // Node.js looks the host up before it sends, and drops the datagram if the socket has been closed meanwhile.
        socket.send(bytes, toPort, toHost, onSent)
      } catch (error) {
        // The address of one node must not keep the others from getting their reports.
        onSent(error as Error)
      }
    },
    close: () => {
      if (isClosed) return
      isClosed = true
      if (waitingCount === 0) socket.close()
    }
  }
}
