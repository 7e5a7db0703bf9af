/** Network addresses in settings, configurations and registrations. */
import { z } from "zod";

const addressPattern = /^(?:\[(?<v6>[^\]]+)\]|(?<v4>[\d.]+)):(?<port>\d{1,5})$/;
const maxPort = 65_535;

/**
 * True for IP:PORT that a connection can be made to. Names are no addresses: nothing here looks them up.
 *
 * @example
 * isIpAndPort("10.0.0.1:8080"); // true
 * isIpAndPort("10.0.0.1:70000"); // false
 */
export function isIpAndPort(text: string): boolean {
    const { v4 = "", v6 = "", port = "" } = addressPattern.exec(text)?.groups ?? {};
    const isIp = z.ipv4().safeParse(v4).success || z.ipv6().safeParse(v6).success;
    return isIp && Number(port) > 0 && Number(port) <= maxPort;
}

export const ipAndPort = z.string().refine(isIpAndPort, "expected IP:PORT");
