/** The signals of a node that `serve` runs. */

const stopRequest = new AbortController()
let isListening = false

function onTerminate (): void {
  process.off('SIGINT', onTerminate)
  stopRequest.abort()
}

/**
 * Listens for signals from the first call on; the returned signal aborts at the first
 * SIGTERM or SIGINT. From then on another SIGTERM changes nothing, as it would abort open
 * requests, and SIGINT ends the process. SIGHUP never changes anything.
 */
export function listenForDrainSignal (): AbortSignal {
  if (!isListening) {
    isListening = true
    process.on('SIGTERM', onTerminate)
    process.on('SIGINT', onTerminate)
    process.on('SIGHUP', () => {})
  }
  return stopRequest.signal
}
