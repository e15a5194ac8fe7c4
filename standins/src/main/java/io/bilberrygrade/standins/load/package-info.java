/** Callers: a client that checks every token, the demo and the load tool. */
package io.bilberrygrade.standins.load;
