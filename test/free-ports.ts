/** Ports for nodes whose settings name them in advance. */
import { createServer } from 'node:net'

/** Below the range from which the system takes ports of outgoing connections, and apart from the ports of the soak. */
const firstPort = 30_000
const portCount = 2_700
const host = '127.0.0.1'

function isFree (port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}

/** Finds consecutive ports that no process listens on, and returns the first one. Several test processes may search at the same time. */
export async function findFreePorts (count: number): Promise<number> {
  for (;;) {
    const first = firstPort + Math.floor(Math.random() * (portCount - count))
    const free = await Promise.all(Array.from({ length: count }, (_, index) => isFree(first + index)))
    if (free.every(Boolean)) return first
  }
}
