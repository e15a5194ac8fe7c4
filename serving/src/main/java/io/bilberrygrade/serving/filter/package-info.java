/** Filter chain that processes each request. */
package io.bilberrygrade.serving.filter;
